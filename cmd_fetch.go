package main

import (
	"context"
	"fmt"

	"papayaquay/core/outcome"
	papayaquayv1 "papayaquay/proto/papayaquay/v1"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
)

// cmdFetch is the command that reads the answer to a request key.
var cmdFetch = &cli.Command{
	Name:      "fetch",
	Usage:     "read the answer to a request key",
	ArgsUsage: "KEY",
	Flags:     clientFlags(&cli.DurationFlag{Name: "wait", Usage: "maximum time to wait for a running request"}),
	Action: func(ctx context.Context, c *cli.Command) error {
		response, err := callerClient(c).Fetch(ctx, newRequest(c, &papayaquayv1.FetchRequest{
			Key: c.Args().First(), WaitMs: millis(c.Duration("wait")),
		}))
		if err != nil {
			return err
		}
		m := response.Msg
		if c.Bool("json") {
			return printMessage(c.Root().Writer, m)
		}
		if !m.GetKnown() {
			return errors.Wrapf(outcome.ErrNotFound, "key %s", c.Args().First())
		}
		if m.GetAnswer().GetCode() == papayaquayv1.Code_CODE_UNSPECIFIED {
			return outcome.ErrInProgress
		}
		fmt.Fprintln(c.Root().Writer, m.GetAnswer().GetText())
		return answerError(m.GetAnswer())
	},
}
