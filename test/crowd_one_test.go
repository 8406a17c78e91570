package test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	papayaquayv1 "papayaquay/proto/papayaquay/v1"
	"papayaquay/proto/papayaquay/v1/papayaquayv1connect"

	"connectrpc.com/connect"
	qt "github.com/frankban/quicktest"
)

// TestCrowdOfOneAtServe checks that single messages inside the limits are served in calm, in each protocol
// and encoding.
func TestCrowdOfOneAtServe(t *testing.T) {
	items := make([]*papayaquayv1.Item, 20_000)
	for n := range items {
		items[n] = &papayaquayv1.Item{Prompt: strings.Repeat("x", 500), MaxTokens: 1}
	}
	h2 := new(http.Protocols)
	h2.SetUnencryptedHTTP2(true)
	for _, test := range []struct {
		name    string
		client  *http.Client
		options []connect.ClientOption
	}{
		{"binary", http.DefaultClient, nil},
		{"JSON", http.DefaultClient, []connect.ClientOption{connect.WithProtoJSON()}},
		{"compressed", http.DefaultClient, []connect.ClientOption{connect.WithSendGzip()}},
		{"gRPC", &http.Client{Transport: &http.Transport{Protocols: h2}}, []connect.ClientOption{connect.WithGRPC()}},
		{"compressed gRPC", &http.Client{Transport: &http.Transport{Protocols: h2}}, []connect.ClientOption{connect.WithGRPC(), connect.WithSendGzip()}},
	} {
		t.Run(test.name, func(t *testing.T) {
			sys := startSystem(t, systemOptions{centres: []string{"ch-west-a"}, perCentre: 1, engines: 1, descriptors: crowdDescriptors})
			p := sys.layout.Instances()[0]
			key := strings.ReplaceAll(test.name, " ", "-")
			client := papayaquayv1connect.NewCallerServiceClient(test.client, p.URL(), test.options...)
			_, err := client.Submit(sys.ctx, connect.NewRequest(&papayaquayv1.SubmitRequest{Key: "large-" + key, Service: service,
				Prompt: strings.Repeat("x", crowdMessage-1000), MaxTokens: 1}))
			qt.Check(t, err, qt.IsNil)
			_, err = client.SubmitJob(sys.ctx, connect.NewRequest(&papayaquayv1.SubmitJobRequest{Job: "many-" + key, Service: service,
				Total: int32(len(items)), Items: items}))
			qt.Check(t, err, qt.IsNil)
			sys.checkHolds(t, p)
		})
	}
}

// TestCrowdsKeptAtServe checks that an instance outlasts callers that store one large request after the other:
// what it keeps of them must fit into its memory.
func TestCrowdsKeptAtServe(t *testing.T) {
	const requests = 40
	sys := startSystem(t, systemOptions{centres: []string{"ch-west-a"}, perCentre: 1, engines: 1, descriptors: crowdDescriptors})
	p := sys.layout.Instances()[0]
	client := papayaquayv1connect.NewCallerServiceClient(http.DefaultClient, p.URL())
	stored := 0
	for n := range requests {
		_, err := client.Submit(sys.ctx, connect.NewRequest(&papayaquayv1.SubmitRequest{Key: fmt.Sprint("kept-", n), Service: service,
			Prompt: strings.Repeat("x", crowdMessage-1000), MaxTokens: 1}))
		if err == nil {
			stored++
		}
	}
	t.Logf("%d of %d requests stored", stored, requests)
	sys.checkHolds(t, p)
	if !sys.answersSoon("after") {
		t.Error("no ordinary request was answered afterwards")
	}
}
