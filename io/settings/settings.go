// Package settings reads the TOML file of an instance. Unknown keys and invalid
// values are rejected with an error of one line that names file, key and reason.
package settings

import (
	"fmt"
	"log/slog"
	"net"
	"os"
	"strings"
	"time"

	"papayaquay/core/control"
	"papayaquay/core/member"
	"papayaquay/core/traffic"

	"github.com/BurntSushi/toml"
	"github.com/cockroachdb/errors"
)

// ErrInvalid marks the error of a settings file that is missing or invalid.
var ErrInvalid = errors.New("invalid settings")

// Default values of settings. The packages of core/ define the other defaults.
const (
	DefaultTrafficThreads    = 2
	DefaultShutdownTimeout   = 30 * time.Second
	DefaultLoadBalancerDelay = 2 * time.Second
	DefaultMemoryMB          = 512

	maxTrafficThreads = 64
)

// duration is a time span that is written like "1.5s" in the file.
type duration time.Duration

// UnmarshalText parses a duration. A negative duration is an error.
func (d *duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return errors.Newf("%q is no duration, write it like \"1.5s\"", text)
	}
	if parsed < 0 {
		return errors.Newf("duration %q is negative", text)
	}
	*d = duration(parsed)
	return nil
}

// MarshalText formats the duration.
func (d duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// settingsFile is the content of the settings file of an instance.
type settingsFile struct {
	Name            string   `toml:"name"`
	DataCentre      string   `toml:"data_centre"`
	DataFolder      string   `toml:"data_folder,omitempty"`
	PeerAddress     string   `toml:"peer_address"`
	HTTPAddress     string   `toml:"http_address"`
	PeerKeys        []string `toml:"peer_keys"`
	OperatorSecrets []string `toml:"operator_secrets,omitempty"`
	BackendSecrets  []string `toml:"backend_secrets,omitempty"`
	RequireAccount  bool     `toml:"require_account"`
	TrafficThreads  int      `toml:"traffic_threads"`
	LogLevel        string   `toml:"log_level"`

	Limits    limits           `toml:"limits"`
	Trace     trace            `toml:"trace"`
	Instances []instance       `toml:"instance"`
	Ledgers   []ledgerReplicas `toml:"ledger"`
}

// limits is the content of the table of limits and timeouts.
type limits struct {
	CompactAfter      uint64   `toml:"compact_after"`  // number of applied entries in a log that triggers a snapshot
	Shutdown          duration `toml:"stop_bound"`     // maximum time of a graceful shutdown
	LoadBalancerDelay duration `toml:"balancer_pause"` // between "not ready" and the rejection of new requests
	ItemLease         duration `toml:"item_lease"`     // duration of the lease of a batch item
	ProbeInterval     duration `toml:"probe_interval"` // interval of membership probes
	MemoryMB          int      `toml:"memory_mb"`      // memory of the process; a quarter of it is for what clients make it hold
	QueueLimit        int      `toml:"queue_limit"`    // maximum number of waiting requests per traffic thread
	HedgeShare        float64  `toml:"hedge_share"`    // hedges per completed request, 0 to 1
	RetryShare        float64  `toml:"retry_share"`    // retries per completed request, 0 to 1
}

// trace is the destination of spans.
type trace struct {
	File     string `toml:"file,omitempty"`
	Endpoint string `toml:"otlp_endpoint,omitempty"`
}

// instance is an instance of the system.
type instance struct {
	Name       string `toml:"name"`
	Address    string `toml:"address"`
	DataCentre string `toml:"data_centre"`
}

// ledgerReplicas names the instances that hold the replicas of a ledger.
type ledgerReplicas struct {
	ID              string   `toml:"id"`
	Replicas        []string `toml:"replicas"`
	PreferredLeader string   `toml:"prefer,omitempty"`
}

// defaults returns the values of the keys that are missing in a file.
func defaults() settingsFile {
	return settingsFile{
		TrafficThreads: DefaultTrafficThreads,
		LogLevel:       "info",
		Limits: limits{
			CompactAfter: control.DefaultCompactAfter, Shutdown: duration(DefaultShutdownTimeout),
			LoadBalancerDelay: duration(DefaultLoadBalancerDelay), ItemLease: duration(control.DefaultLease),
			ProbeInterval: duration(member.DefaultProbeInterval), MemoryMB: DefaultMemoryMB, QueueLimit: traffic.DefaultQueueLimit,
			HedgeShare: traffic.DefaultHedgeShare, RetryShare: traffic.DefaultRetryShare,
		},
	}
}

// Load reads and checks a settings file. Its errors are marked with ErrInvalid.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Mark(errors.Newf("%s: %v", path, err), ErrInvalid)
	}
	return Parse(path, string(data))
}

// Parse parses and checks the text of a settings file. Its errors contain path and
// are marked with ErrInvalid.
func Parse(path, text string) (*Settings, error) {
	content := defaults()
	meta, err := toml.Decode(text, &content)
	if err != nil {
		return nil, invalid(path, decodeReason(err))
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return nil, invalid(path, fmt.Sprintf("%s: unknown key", unknown[0]))
	}
	if reason := content.check(); reason != "" {
		return nil, invalid(path, reason)
	}
	return &Settings{content: content}, nil
}

// invalid returns the error for a reason, which starts with the key.
func invalid(path, reason string) error {
	return errors.Mark(errors.Newf("%s: %s", path, reason), ErrInvalid)
}

// decodeReason returns the key, the line and the message of a decoding error as one
// line.
func decodeReason(err error) string {
	var parse toml.ParseError
	if errors.As(err, &parse) {
		if parse.LastKey != "" {
			return fmt.Sprintf("%s: line %d: %s", parse.LastKey, parse.Position.Line, oneLine(parse.Message, err))
		}
		return fmt.Sprintf("line %d: %s", parse.Position.Line, oneLine(parse.Message, err))
	}
	return oneLine("", err)
}

// oneLine returns message, or the text of err if message is empty, without line
// breaks.
func oneLine(message string, err error) string {
	if message == "" {
		message = strings.TrimPrefix(err.Error(), "toml: ")
	}
	return strings.Join(strings.Fields(message), " ")
}

// check returns the first problem as "key: reason", or the empty string.
func (f settingsFile) check() string {
	for _, rule := range []struct {
		bad    bool
		reason string
	}{
		{f.Name == "", "name: missing"},
		{strings.ContainsAny(f.Name, "#/ "), "name: must not contain #, / or space"},
		{f.DataCentre == "", "data_centre: missing"},
		{f.PeerAddress == "", "peer_address: missing"},
		{f.HTTPAddress == "", "http_address: missing"},
		{f.PeerAddress == f.HTTPAddress, "http_address: same as peer_address"},
		{len(f.PeerKeys) == 0 || f.PeerKeys[0] == "", "peer_keys: at least one key is needed"},
		{f.TrafficThreads < 1 || f.TrafficThreads > maxTrafficThreads, fmt.Sprintf("traffic_threads: must be 1 to %d", maxTrafficThreads)},
		{f.Limits.MemoryMB < 1, "limits.memory_mb: must be at least 1"},
		{f.Limits.QueueLimit < 1, "limits.queue_limit: must be at least 1"},
		{f.Limits.CompactAfter < 1, "limits.compact_after: must be at least 1"},
		{f.Limits.ProbeInterval == 0, "limits.probe_interval: must not be zero"},
		{f.Limits.HedgeShare < 0 || f.Limits.HedgeShare > 1, "limits.hedge_share: must be 0 to 1"},
		{f.Limits.RetryShare < 0 || f.Limits.RetryShare > 1, "limits.retry_share: must be 0 to 1"},
		{!isLogLevel(f.LogLevel), "log_level: must be debug, info, warn or error"},
	} {
		if rule.bad {
			return rule.reason
		}
	}
	if reason := f.checkAddresses(); reason != "" {
		return reason
	}
	return f.checkLedgers()
}

// isLogLevel reports whether level is the name of a log level.
func isLogLevel(level string) bool {
	_, ok := logLevels[level]
	return ok
}

// logLevels maps the names of log levels.
var logLevels = map[string]slog.Level{"debug": slog.LevelDebug, "info": slog.LevelInfo, "warn": slog.LevelWarn, "error": slog.LevelError}

// checkAddresses checks the addresses of this instance and the list of instances.
// It returns the first problem, or the empty string.
func (f settingsFile) checkAddresses() string {
	if reason := checkAddress(f.PeerAddress); reason != "" {
		return "peer_address: " + reason
	}
	if reason := checkAddress(f.HTTPAddress); reason != "" {
		return "http_address: " + reason
	}
	names, addresses := make(map[string]bool), make(map[string]bool)
	for n, i := range f.Instances {
		key := fmt.Sprintf("instance[%d]", n)
		switch {
		case i.Name == "":
			return key + ".name: missing"
		case i.DataCentre == "":
			return key + ".data_centre: missing"
		case names[i.Name]:
			return key + ".name: duplicate " + i.Name
		case addresses[i.Address]:
			return key + ".address: duplicate " + i.Address
		}
		if reason := checkAddress(i.Address); reason != "" {
			return key + ".address: " + reason
		}
		names[i.Name], addresses[i.Address] = true, true
	}
	if len(f.Instances) > 0 && !names[f.Name] {
		return "instance: the list lacks this instance, " + f.Name
	}
	return ""
}

// checkAddress checks that address is an IP address with a port. It returns the
// problem, or the empty string.
func checkAddress(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return fmt.Sprintf("%q is no address with a port", address)
	}
	if net.ParseIP(host) == nil {
		return fmt.Sprintf("%q is no IP number", host)
	}
	return ""
}

// checkLedgers checks the placement of ledgers. It returns the first problem, or the
// empty string.
func (f settingsFile) checkLedgers() string {
	known := map[string]bool{f.Name: true}
	for _, i := range f.Instances {
		known[i.Name] = true
	}
	ids := make(map[string]bool)
	for n, l := range f.Ledgers {
		key := fmt.Sprintf("ledger[%d]", n)
		if ids[l.ID] || (l.ID != "config" && !strings.HasPrefix(l.ID, "home/") && !strings.HasPrefix(l.ID, "local/")) {
			return key + ".id: must be config, home/… or local/…, each once"
		}
		ids[l.ID] = true
		if len(l.Replicas) == 0 {
			return key + ".replicas: missing"
		}
		for _, r := range l.Replicas {
			if !known[r] {
				return key + ".replicas: unknown instance " + r
			}
			if r == f.Name && f.DataFolder == "" {
				return "data_folder: missing, this instance holds a replica of " + l.ID
			}
		}
	}
	if !ids["config"] {
		return "ledger: a ledger with id config is needed"
	}
	return ""
}
