package settings

import (
	"bytes"
	"log/slog"
	"time"

	"papayaquay/core/control"
	ledgerlog "papayaquay/core/ledger"
	"papayaquay/core/member"

	"github.com/BurntSushi/toml"
	"github.com/cockroachdb/errors"
)

// Settings are the checked settings of an instance.
type Settings struct {
	content file
}

// Name returns the instance's name.
func (s *Settings) Name() string { return s.content.Name }

// DataCentre returns the instance's data centre.
func (s *Settings) DataCentre() string { return s.content.DataCentre }

// DataFolder returns the data folder, or nothing for an instance without disk.
func (s *Settings) DataFolder() string { return s.content.DataFolder }

// PeerAddress returns the address for other instances.
func (s *Settings) PeerAddress() string { return s.content.PeerAddress }

// HTTPAddress returns the address for callers, operators and backend servers.
func (s *Settings) HTTPAddress() string { return s.content.HTTPAddress }

// PeerKeys returns the accepted keys of other instances; the first one signs.
func (s *Settings) PeerKeys() []string { return s.content.PeerKeys }

// OperatorSecrets returns the accepted operator secrets.
func (s *Settings) OperatorSecrets() []string { return s.content.OperatorSecrets }

// BackendSecrets returns the accepted secrets of backend servers.
func (s *Settings) BackendSecrets() []string { return s.content.BackendSecrets }

// RequireAccount reports whether callers need a configured account.
func (s *Settings) RequireAccount() bool { return s.content.RequireAccount }

// TrafficThreads returns the number of traffic threads.
func (s *Settings) TrafficThreads() int { return s.content.TrafficThreads }

// LogLevel returns the least severity that is logged.
func (s *Settings) LogLevel() slog.Level { return logLevels[s.content.LogLevel] }

// CompactAfter returns how many applied entries a log holds before a snapshot.
func (s *Settings) CompactAfter() uint64 { return s.content.Limits.CompactAfter }

// ShutdownTimeout returns the longest time of a graceful shutdown.
func (s *Settings) ShutdownTimeout() time.Duration {
	return time.Duration(s.content.Limits.ShutdownTimeout)
}

// LoadBalancerDelay returns the time that the balancer needs to notice that the
// instance is not ready.
func (s *Settings) LoadBalancerDelay() time.Duration {
	return time.Duration(s.content.Limits.LoadBalancerDelay)
}

// ItemLease returns how long leases of batch items last.
func (s *Settings) ItemLease() time.Duration { return time.Duration(s.content.Limits.ItemLease) }

// ProbeInterval returns the time between membership probes.
func (s *Settings) ProbeInterval() time.Duration {
	return time.Duration(s.content.Limits.ProbeInterval)
}

// QueueLimit returns how many requests wait in one traffic thread.
func (s *Settings) QueueLimit() int { return s.content.Limits.QueueLimit }

// HedgeShare returns the hedges per request.
func (s *Settings) HedgeShare() float64 { return s.content.Limits.HedgeShare }

// RetryShare returns the retries per request.
func (s *Settings) RetryShare() float64 { return s.content.Limits.RetryShare }

// TraceFile returns the file that spans are written to, or nothing.
func (s *Settings) TraceFile() string { return s.content.Trace.File }

// TraceEndpoint returns the OTLP address that spans are sent to, or nothing.
func (s *Settings) TraceEndpoint() string { return s.content.Trace.Endpoint }

// Seeds returns the instances of the system, this one included.
func (s *Settings) Seeds() []member.Instance {
	var seeds []member.Instance
	for _, i := range s.content.Instances {
		seeds = append(seeds, member.NewInstance(i.Name, i.Address, i.DataCentre, 0, 0))
	}
	return seeds
}

// Placements returns where the replicas of the ledgers are.
func (s *Settings) Placements() []control.Placement {
	var placements []control.Placement
	for _, l := range s.content.Ledgers {
		placements = append(placements, control.NewPlacement(ledgerlog.ID(l.ID), l.Replicas, l.Prefer))
	}
	return placements
}

// RedactedTOML returns the settings with all defaults as TOML. Secrets are left out.
func (s *Settings) RedactedTOML() (string, error) {
	shown := s.content
	shown.PeerKeys, shown.OperatorSecrets, shown.BackendSecrets = []string{"…"}, nil, nil
	var out bytes.Buffer
	if err := toml.NewEncoder(&out).Encode(shown); err != nil {
		return "", errors.Wrap(err, "write settings")
	}
	return out.String(), nil
}
