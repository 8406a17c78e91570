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

// Announcement timing.
const (
	announceInterval = time.Second
	announceTimeout  = 500 * time.Millisecond
)

// Announcer tells the entries that a backend server exists.
type Announcer struct {
	message  *papayaquayv1.AnnounceRequest
	entries  func() []string // base URLs
	load     func() (running, queued int)
	leaving  atomic.Bool
	sequence atomic.Uint64
	kick     chan struct{}
}

// NewAnnouncer returns an announcer; message is sent again and again with a
// rising sequence and the current load, each time to the next entry.
func NewAnnouncer(message *papayaquayv1.AnnounceRequest, entries func() []string, load func() (running, queued int)) *Announcer {
	message.Incarnation = uint64(time.Now().UnixMilli())
	return &Announcer{message: message, entries: entries, load: load, kick: make(chan struct{}, 1)}
}

// Attempt announces until the context ends.
func (a *Announcer) Run(ctx context.Context) {
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for n := 0; ; n++ {
		if entries := a.entries(); len(entries) > 0 {
			if a.tell(ctx, entries[n%len(entries)]) != nil && len(entries) > 1 {
				_ = a.tell(ctx, entries[(n+1)%len(entries)])
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-a.kick:
		}
	}
}

// Leave announces at once that the server takes no new work.
func (a *Announcer) Leave() {
	a.leaving.Store(true)
	select {
	case a.kick <- struct{}{}:
	default: // an announcement is due already
	}
}

// tell sends one announcement.
func (a *Announcer) tell(ctx context.Context, entry string) error {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	running, queued := a.load()
	client := papayaquayv1connect.NewBackendServiceClient(http.DefaultClient, entry, connect.WithProtoJSON())
	_, err := client.Announce(ctx, connect.NewRequest(&papayaquayv1.AnnounceRequest{
		Id: a.message.GetId(), Address: a.message.GetAddress(), DataCentre: a.message.GetDataCentre(),
		Protocol: a.message.GetProtocol(), Slots: a.message.GetSlots(), Services: a.message.GetServices(),
		Models: a.message.GetModels(), Fences: a.message.GetFences(), Incarnation: a.message.GetIncarnation(),
		Sequence: a.sequence.Add(1), Leaving: a.leaving.Load(), Running: int32(running), Queued: int32(queued),
	}))
	return err
}
