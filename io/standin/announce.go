package standin

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	papayaquayv1 "papayaquay/proto/papayaquay/v1"
	"papayaquay/proto/papayaquay/v1/papayaquayv1connect"

	"connectrpc.com/connect"
)

// Times of announcements.
const (
	announceInterval = time.Second
	announceTimeout  = 500 * time.Millisecond
)

// Announcer announces a backend server to entries, the instances that serve callers and
// backend servers.
type Announcer struct {
	announcement *papayaquayv1.AnnounceRequest
	entries      func() []string // base URLs
	load         func() (running, queued int)
	leaving      atomic.Bool
	sequence     atomic.Uint64
	wake         chan struct{}
}

// NewAnnouncer returns an announcer. It sends the announcement once a second, with a
// rising sequence number and the current load, each time to the next entry. If an entry
// fails, it tries the one after it.
func NewAnnouncer(announcement *papayaquayv1.AnnounceRequest, entries func() []string, load func() (running, queued int)) *Announcer {
	announcement.Incarnation = uint64(time.Now().UnixMilli())
	return &Announcer{announcement: announcement, entries: entries, load: load, wake: make(chan struct{}, 1)}
}

// Run announces until the context ends.
func (a *Announcer) Run(ctx context.Context) {
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for n := 0; ; n++ {
		if entries := a.entries(); len(entries) > 0 {
			if a.announce(ctx, entries[n%len(entries)]) != nil && len(entries) > 1 {
				_ = a.announce(ctx, entries[(n+1)%len(entries)])
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-a.wake:
		}
	}
}

// Leave announces immediately that the server is leaving and takes no new requests.
func (a *Announcer) Leave() {
	a.leaving.Store(true)
	select {
	case a.wake <- struct{}{}:
	default: // Run is already due to announce
	}
}

// announce sends one announcement.
func (a *Announcer) announce(ctx context.Context, entry string) error {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	running, queued := a.load()
	client := papayaquayv1connect.NewBackendServiceClient(http.DefaultClient, entry, connect.WithProtoJSON())
	_, err := client.Announce(ctx, connect.NewRequest(&papayaquayv1.AnnounceRequest{
		Id: a.announcement.GetId(), Address: a.announcement.GetAddress(), DataCentre: a.announcement.GetDataCentre(),
		Protocol: a.announcement.GetProtocol(), Slots: a.announcement.GetSlots(), Services: a.announcement.GetServices(),
		Models: a.announcement.GetModels(), Fences: a.announcement.GetFences(), Incarnation: a.announcement.GetIncarnation(),
		Sequence: a.sequence.Add(1), Leaving: a.leaving.Load(), Running: int32(running), Queued: int32(queued),
	}))
	return err
}
