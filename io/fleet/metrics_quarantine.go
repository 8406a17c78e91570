package fleet

import "expvar"

// quarantineMetric is the name of the metric that lists the quarantined parts of prompts.
const quarantineMetric = "fleet_quarantine"

// quarantinedPart is a quarantined part of prompts in the metrics.
type quarantinedPart struct {
	Part     string   `json:"part"`
	Crashes  int      `json:"crashes"`
	Backends []string `json:"backends"`
	EndsInMS int64    `json:"ends_in_ms"`
}

// publishQuarantine makes the quarantined parts of prompts part of the metrics.
func (p *Process) publishQuarantine() {
	if expvar.Get(quarantineMetric) != nil {
		return // names of metrics are global
	}
	expvar.Publish(quarantineMetric, expvar.Func(func() any {
		parts := []quarantinedPart{}
		for _, v := range p.Snapshot().Quarantine().Rejections() {
			parts = append(parts, quarantinedPart{Part: string(v.Part()), Crashes: v.Crashes(), Backends: v.Backends(), EndsInMS: v.TimeLeft().Milliseconds()})
		}
		return parts
	}))
}
