package standin

import (
	"context"
	"fmt"
	"sync"

	papayaquayv1 "papayaquay/proto/papayaquay/v1"
)

// EngineGroup is a set of engines that announce themselves to the entries.
type EngineGroup struct {
	engines    []*Engine
	announcers []*Announcer
	cancels    []context.CancelFunc
	waitGroup  sync.WaitGroup
}

// NewEngineGroup starts count engines, spread over the data centres of the layout. Each
// runs the given services and announces itself to the entries of its data centre.
func NewEngineGroup(ctx context.Context, layout *Layout, count int, services []string, options ...EngineOption) (*EngineGroup, error) {
	g := &EngineGroup{}
	var centres []string
	urls := make(map[string][]string)
	for _, config := range layout.Instances() {
		if len(urls[config.DataCentre]) == 0 {
			centres = append(centres, config.DataCentre)
		}
		urls[config.DataCentre] = append(urls[config.DataCentre], config.URL())
	}
	for n := range count {
		e, err := NewEngine(fmt.Sprintf("engine-%02d", n), options...)
		if err != nil {
			g.Close()
			return nil, err
		}
		centre := centres[n%len(centres)]
		g.add(ctx, e, NewAnnouncer(&papayaquayv1.AnnounceRequest{
			Id: e.ID(), Address: e.URL(), DataCentre: centre, Protocol: "engine",
			Slots: int32(e.slots), Services: services, Fences: e.checksFence,
		}, func() []string { return urls[centre] }, func() (int, int) { return e.Running(), e.Queued() }))
	}
	return g, nil
}

// add adds an engine and starts its announcements.
func (g *EngineGroup) add(ctx context.Context, e *Engine, a *Announcer) {
	ctx, cancel := context.WithCancel(ctx)
	g.engines = append(g.engines, e)
	g.announcers = append(g.announcers, a)
	g.cancels = append(g.cancels, cancel)
	g.waitGroup.Add(1)
	go func() {
		defer g.waitGroup.Done()
		a.Run(ctx)
	}()
}

// Engines returns the engines.
func (g *EngineGroup) Engines() []*Engine { return g.engines }

// Leave makes engine n announce immediately that it is leaving.
func (g *EngineGroup) Leave(n int) {
	g.announcers[n].Leave()
}

// Kill stops engine n and its announcements immediately.
func (g *EngineGroup) Kill(n int) {
	g.cancels[n]()
	g.engines[n].Close()
}

// Close stops all engines.
func (g *EngineGroup) Close() {
	for n := range g.engines {
		g.Kill(n)
	}
	g.waitGroup.Wait()
}
