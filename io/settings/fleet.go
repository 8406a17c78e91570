package settings

import (
	"fmt"
	"log/slog"
	"net"
	"os"
	"slices"
	"strconv"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/cockroachdb/errors"
)

// Roles of instances in a deployment with control instances.
const (
	RoleEntry   = "entry"
	RoleControl = "control"
	RoleStore   = "store"
)

// Default values of keys that a deployment may omit.
const (
	defaultFleetShutdownTimeout = 8 * time.Second
	defaultToleratedMachines    = 1
	defaultMemoryMB             = 120
)

// fleetFile is the content of the settings file of an instance in a fleet.
type fleetFile struct {
	Name              string   `toml:"name"`
	Role              string   `toml:"role"`
	DataCentre        string   `toml:"data_centre"`
	Address           string   `toml:"address"`
	ListenAddress     string   `toml:"listen_address,omitempty"`
	PeerPort          int      `toml:"peer_port"`
	CallerAddress     string   `toml:"caller_address,omitempty"`
	ReadyAddress      string   `toml:"ready_address,omitempty"`
	ControlAddress    string   `toml:"control_address,omitempty"`
	MetricsPort       int      `toml:"metrics_port"`
	DataFolder        string   `toml:"data_folder,omitempty"`
	Seeds             []string `toml:"seeds"`
	FirstStart        bool     `toml:"first_start"`
	ToleratedMachines int      `toml:"tolerated_machines"`
	MemoryMB          int      `toml:"memory_mb"`
	MaxDescriptors    int      `toml:"max_descriptors"`
	ShutdownTimeout   duration `toml:"stop_bound"`
	LogLevel          string   `toml:"log_level"`
	Trace             trace    `toml:"trace"`
}

// Fleet contains the checked settings of an instance in a fleet: a deployment with
// control instances.
type Fleet struct {
	content fleetFile
}

// LoadFleet reads and checks a settings file. Its errors are marked with ErrInvalid.
func LoadFleet(path string) (*Fleet, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Mark(errors.Newf("%s: %v", path, err), ErrInvalid)
	}
	return ParseFleet(path, string(data))
}

// ParseFleet parses and checks the text of a settings file. Its errors contain path
// and are marked with ErrInvalid.
func ParseFleet(path, text string) (*Fleet, error) {
	content := fleetFile{LogLevel: "info", ShutdownTimeout: duration(defaultFleetShutdownTimeout), ToleratedMachines: defaultToleratedMachines, MemoryMB: defaultMemoryMB}
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
	return &Fleet{content: content}, nil
}

// check returns the first problem as "key: reason", or the empty string.
func (f fleetFile) check() string {
	for _, rule := range []struct {
		bad    bool
		reason string
	}{
		{f.Name == "", "name: missing"},
		{!slices.Contains([]string{RoleEntry, RoleControl, RoleStore}, f.Role), "role: must be entry, control or store"},
		{f.DataCentre == "", "data_centre: missing"},
		{net.ParseIP(f.Address) == nil, fmt.Sprintf("address: %q is no IP number", f.Address)},
		{f.ListenAddress != "" && net.ParseIP(f.ListenAddress) == nil, fmt.Sprintf("listen_address: %q is no IP number", f.ListenAddress)},
		{f.PeerPort < 1 || f.PeerPort > 65535, "peer_port: must be 1 to 65535"},
		{f.MetricsPort < 1 || f.MetricsPort > 65535, "metrics_port: must be 1 to 65535"},
		{len(f.Seeds) == 0, "seeds: at least one address is needed"},
		{f.Role == RoleEntry && f.CallerAddress == "", "caller_address: missing"},
		{f.Role == RoleEntry && f.ReadyAddress == "", "ready_address: missing"},
		{f.Role == RoleControl && f.ControlAddress == "", "control_address: missing"},
		{f.Role != RoleEntry && f.DataFolder == "", "data_folder: missing"},
		{f.ToleratedMachines < 0, "tolerated_machines: must not be negative"},
		{f.MemoryMB < 1, "memory_mb: must be at least 1"},
		{f.MaxDescriptors < 0, "max_descriptors: must not be negative"},
		{f.ShutdownTimeout == 0, "stop_bound: must not be zero"},
		{!isLogLevel(f.LogLevel), "log_level: must be debug, info, warn or error"},
	} {
		if rule.bad {
			return rule.reason
		}
	}
	for key, address := range map[string]string{"caller_address": f.CallerAddress, "ready_address": f.ReadyAddress, "control_address": f.ControlAddress} {
		if reason := checkAddress(address); address != "" && reason != "" {
			return key + ": " + reason
		}
	}
	for n, seed := range f.Seeds {
		if reason := checkAddress(seed); reason != "" {
			return fmt.Sprintf("seeds[%d]: %s", n, reason)
		}
	}
	return ""
}

// Name returns the instance's name.
func (f *Fleet) Name() string { return f.content.Name }

// Role returns the role of the instance: RoleEntry, RoleControl or RoleStore.
func (f *Fleet) Role() string { return f.content.Role }

// DataCentre returns the instance's data centre.
func (f *Fleet) DataCentre() string { return f.content.DataCentre }

// PeerAddress returns the address on which other instances connect.
func (f *Fleet) PeerAddress() string { return f.joinPort(f.content.Address, f.content.PeerPort) }

// CallerAddress returns the address on which callers connect.
func (f *Fleet) CallerAddress() string { return f.content.CallerAddress }

// ReadyAddress returns the address of the readiness check, which reports whether the
// instance accepts new connections from callers.
func (f *Fleet) ReadyAddress() string { return f.content.ReadyAddress }

// ControlAddress returns the address on which operators and backend servers connect.
func (f *Fleet) ControlAddress() string { return f.content.ControlAddress }

// MetricsAddress returns the address that serves metrics.
func (f *Fleet) MetricsAddress() string { return f.joinPort(f.content.Address, f.content.MetricsPort) }

// ListenAddress returns the address to listen on for an address that others connect
// to. The host differs only if the settings have a listen address, for example
// behind a port forwarder.
func (f *Fleet) ListenAddress(address string) string {
	_, port, err := net.SplitHostPort(address)
	if f.content.ListenAddress == "" || err != nil {
		return address
	}
	return net.JoinHostPort(f.content.ListenAddress, port)
}

// SourceIP returns the source IP address of outgoing connections; empty for any.
func (f *Fleet) SourceIP() string { return f.content.ListenAddress }

// DataFolder returns the folder for durable state; it may be empty on entry
// instances.
func (f *Fleet) DataFolder() string { return f.content.DataFolder }

// Seeds returns the peer addresses of the control instances that this instance
// contacts first. All instances use the same peer port.
func (f *Fleet) Seeds() []string {
	var peers []string
	for _, seed := range f.content.Seeds {
		host, _, err := net.SplitHostPort(seed)
		if err == nil { // ParseFleet has checked the seeds
			peers = append(peers, f.joinPort(host, f.content.PeerPort))
		}
	}
	return peers
}

// joinPort returns the address of a host and a port.
func (f *Fleet) joinPort(host string, port int) string {
	return net.JoinHostPort(host, strconv.Itoa(port))
}

// FirstStart reports whether the whole deployment starts for the first time.
func (f *Fleet) FirstStart() bool { return f.content.FirstStart }

// IsInitialMember reports whether this instance is an initial member of the control
// ledger: it is a seed, and this is the first start of the whole deployment.
func (f *Fleet) IsInitialMember() bool {
	return f.content.FirstStart && slices.Contains(f.content.Seeds, f.content.ControlAddress)
}

// Voters returns the number of voters of a ledger. A majority of them survives the
// loss of as many machines as the settings tolerate.
func (f *Fleet) Voters() int { return 2*f.content.ToleratedMachines + 1 }

// MemoryBytes returns the memory limit of the process in bytes.
func (f *Fleet) MemoryBytes() int64 { return int64(f.content.MemoryMB) << 20 }

// MaxDescriptors returns how many descriptors the process may open, 0 for the limit of the operating
// system.
func (f *Fleet) MaxDescriptors() int { return f.content.MaxDescriptors }

// ShutdownTimeout returns the maximum time of a graceful shutdown.
func (f *Fleet) ShutdownTimeout() time.Duration { return time.Duration(f.content.ShutdownTimeout) }

// LogLevel returns the lowest level that is logged.
func (f *Fleet) LogLevel() slog.Level { return logLevels[f.content.LogLevel] }

// TraceFile returns the file that spans are written to, or the empty string.
func (f *Fleet) TraceFile() string { return f.content.Trace.File }

// TraceEndpoint returns the OTLP address that spans are sent to, or the empty
// string.
func (f *Fleet) TraceEndpoint() string { return f.content.Trace.Endpoint }
