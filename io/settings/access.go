package settings

import (
	"bytes"
	"log/slog"
	"time"

	"papayaquay/core/control"
	"papayaquay/core/ledger"
	"papayaquay/core/member"

	"github.com/BurntSushi/toml"
	"github.com/cockroachdb/errors"
)

// Settings are the checked settings of an instance.
type Settings struct {
	content settingsFile
}

// Name returns the instance's name.
func (s *Settings) Name() string { return s.content.Name }

// DataCentre returns the instance's data centre.
func (s *Settings) DataCentre() string { return s.content.DataCentre }

// DataFolder returns the data folder, or the empty string for an instance without
// disk.
func (s *Settings) DataFolder() string { return s.content.DataFolder }

// PeerAddress returns the address on which other instances connect.
func (s *Settings) PeerAddress() string { return s.content.PeerAddress }

// HTTPAddress returns the address on which callers, operators and backend servers
// connect.
func (s *Settings) HTTPAddress() string { return s.content.HTTPAddress }

// PeerKeys returns the accepted keys of other instances. The first key signs what
// this instance sends.
func (s *Settings) PeerKeys() []string { return s.content.PeerKeys }

// OperatorSecrets returns the accepted operator secrets.
func (s *Settings) OperatorSecrets() []string { return s.content.OperatorSecrets }

// BackendSecrets returns the accepted secrets of backend servers.
func (s *Settings) BackendSecrets() []string { return s.content.BackendSecrets }

// RequireAccount reports whether callers need a configured account.
func (s *Settings) RequireAccount() bool { return s.content.RequireAccount }

// TrafficThreads returns the number of traffic threads.
func (s *Settings) TrafficThreads() int { return s.content.TrafficThreads }

// LogLevel returns the lowest level that is logged.
func (s *Settings) LogLevel() slog.Level { return logLevels[s.content.LogLevel] }

// CompactAfter returns the number of applied entries in a log that triggers a
// snapshot.
func (s *Settings) CompactAfter() uint64 { return s.content.Limits.CompactAfter }

// ShutdownTimeout returns the maximum time of a graceful shutdown.
func (s *Settings) ShutdownTimeout() time.Duration { return time.Duration(s.content.Limits.Shutdown) }

// LoadBalancerDelay returns the time that the load balancer needs to notice that
// the instance is not ready.
func (s *Settings) LoadBalancerDelay() time.Duration {
	return time.Duration(s.content.Limits.LoadBalancerDelay)
}

// ItemLease returns the duration of the lease of a batch item.
func (s *Settings) ItemLease() time.Duration { return time.Duration(s.content.Limits.ItemLease) }

// ProbeInterval returns the time between membership probes.
func (s *Settings) ProbeInterval() time.Duration {
	return time.Duration(s.content.Limits.ProbeInterval)
}

// MemoryBytes returns the memory of the process in bytes.
func (s *Settings) MemoryBytes() int64 { return int64(s.content.Limits.MemoryMB) << 20 }

// QueueLimit returns the maximum number of waiting requests in one traffic thread.
func (s *Settings) QueueLimit() int { return s.content.Limits.QueueLimit }

// HedgeShare returns the hedges, 0 to 1, that each completed request adds to the
// hedge budget.
func (s *Settings) HedgeShare() float64 { return s.content.Limits.HedgeShare }

// RetryShare returns the retries, 0 to 1, that each completed request adds to the
// retry budget.
func (s *Settings) RetryShare() float64 { return s.content.Limits.RetryShare }

// TraceFile returns the file that spans are written to, or the empty string.
func (s *Settings) TraceFile() string { return s.content.Trace.File }

// TraceEndpoint returns the OTLP address that spans are sent to, or the empty
// string.
func (s *Settings) TraceEndpoint() string { return s.content.Trace.Endpoint }

// Seeds returns all instances of the system, including this one.
func (s *Settings) Seeds() []member.Instance {
	var seeds []member.Instance
	for _, i := range s.content.Instances {
		seeds = append(seeds, member.NewInstance(i.Name, i.Address, i.DataCentre, 0, 0))
	}
	return seeds
}

// Placements returns the instances that hold the replicas of each ledger.
func (s *Settings) Placements() []control.Placement {
	var placements []control.Placement
	for _, l := range s.content.Ledgers {
		placements = append(placements, control.NewPlacement(ledger.ID(l.ID), l.Replicas, l.PreferredLeader))
	}
	return placements
}

// RedactedTOML returns the settings with all defaults as TOML, without secrets.
func (s *Settings) RedactedTOML() (string, error) {
	redacted := s.content
	redacted.PeerKeys, redacted.OperatorSecrets, redacted.BackendSecrets = []string{"…"}, nil, nil
	var out bytes.Buffer
	if err := toml.NewEncoder(&out).Encode(redacted); err != nil {
		return "", errors.Wrap(err, "write settings")
	}
	return out.String(), nil
}
