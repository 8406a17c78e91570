package main

import (
	"crypto/rand"
	"fmt"
	"io"
	"net/http"
	"time"

	"papayaquay/io/rpc"
	"papayaquay/proto/papayaquay/v1/papayaquayv1connect"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
)

// defaultEntryURL is the base URL that commands connect to by default.
const defaultEntryURL = "http://127.0.0.1:8080"

// clientFlags returns the flags of commands that call an instance, followed by
// more.
func clientFlags(more ...cli.Flag) []cli.Flag {
	return append([]cli.Flag{
		&cli.StringFlag{Name: "entry", Value: defaultEntryURL, Usage: "base URL of an instance or of the load balancer", Sources: cli.EnvVars("PAPAYAQUAY_ENTRY")},
		&cli.StringFlag{Name: "account", Usage: "account of the caller", Sources: cli.EnvVars("PAPAYAQUAY_ACCOUNT")},
		&cli.StringFlag{Name: "secret", Usage: "secret of the account", Sources: cli.EnvVars("PAPAYAQUAY_SECRET")},
		&cli.StringFlag{Name: "operator-secret", Usage: "secret of the operator", Sources: cli.EnvVars("PAPAYAQUAY_OPERATOR_SECRET")},
		&cli.BoolFlag{Name: "json", Usage: "print JSON"},
	}, more...)
}

// callerClient returns a client of the caller API of the instance at --entry.
func callerClient(c *cli.Command) papayaquayv1connect.CallerServiceClient {
	return papayaquayv1connect.NewCallerServiceClient(http.DefaultClient, c.String("entry"))
}

// operatorClient returns a client of the operator API of the instance at
// --entry.
func operatorClient(c *cli.Command) papayaquayv1connect.OperatorServiceClient {
	return papayaquayv1connect.NewOperatorServiceClient(http.DefaultClient, c.String("entry"))
}

// newRequest wraps a message in a request and sets the authentication headers
// from the command's flags.
func newRequest[T any](c *cli.Command, message *T) *connect.Request[T] {
	request := connect.NewRequest(message)
	for header, flag := range map[string]string{rpc.HeaderAccount: "account", rpc.HeaderSecret: "secret", rpc.HeaderOperatorSecret: "operator-secret"} {
		if value := c.String(flag); value != "" {
			request.Header().Set(header, value)
		}
	}
	return request
}

// printMessage prints a protobuf message as one line of JSON.
func printMessage(w io.Writer, message proto.Message) error {
	data, err := protojson.Marshal(message)
	if err != nil {
		return errors.Wrap(err, "encode JSON")
	}
	_, err = fmt.Fprintln(w, string(data))
	return errors.Wrap(err, "print")
}

// newOperationID returns a random operation id.
func newOperationID() string { return rand.Text() }

// millis returns a duration in milliseconds, as protobuf messages hold it.
func millis(d time.Duration) int64 { return d.Milliseconds() }
