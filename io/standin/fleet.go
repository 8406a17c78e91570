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
	wait       sync.WaitGroup
}

// NewEngineGroup starts count engines spread over the data centres; each runs the
// given services and announces itself to the entries of its data centre.
func NewEngineGroup(ctx context.Context, layout *Layout, count int, services []string, options ...EngineOption) (*EngineGroup, error) {
	f := &EngineGroup{}
	var centres []string
	urls := make(map[string][]string)
	for _, p := range layout.Instances() {
		if len(urls[p.DataCentre]) == 0 {
			centres = append(centres, p.DataCentre)
		}
		urls[p.DataCentre] = append(urls[p.DataCentre], p.URL())
	}
	for n := range count {
		e, err := NewEngine(fmt.Sprintf("engine-%02d", n), options...)
		if err != nil {
			f.Close()
			return nil, err
		}
		centre := centres[n%len(centres)]
		f.add(ctx, e, NewAnnouncer(&papayaquayv1.AnnounceRequest{
			Id: e.ID(), Address: e.URL(), DataCentre: centre, Protocol: "engine",
			Slots: int32(e.slots), Services: services, Fences: e.checksFence,
		}, func() []string { return urls[centre] }, func() (int, int) { return e.Running(), e.Queued() }))
	}
	return f, nil
}

// add starts the announcements of an engine.
func (f *EngineGroup) add(ctx context.Context, e *Engine, a *Announcer) {
	ctx, cancel := context.WithCancel(ctx)
	f.engines = append(f.engines, e)
	f.announcers = append(f.announcers, a)
	f.cancels = append(f.cancels, cancel)
	f.wait.Add(1)
	go func() {
		defer f.wait.Done()
		a.Run(ctx)
	}()
}

// Engines returns the engines.
func (f *EngineGroup) Engines() []*Engine { return f.engines }

// Leave makes engine n take no new work and say so.
func (f *EngineGroup) Leave(n int) {
	f.announcers[n].Leave()
}

// Kill ends engine n and its announcements at once.
func (f *EngineGroup) Kill(n int) {
	f.cancels[n]()
	f.engines[n].Close()
}

// Close ends all engines.
func (f *EngineGroup) Close() {
	for n := range f.engines {
		f.Kill(n)
	}
	f.wait.Wait()
}
