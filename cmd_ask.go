package main

import (
	"context"
	"fmt"
	"io"
	"time"

	papayaquayv1 "papayaquay/proto/papayaquay/v1"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
)

// workFlags are the flags that describe a request.
func workFlags(more ...cli.Flag) []cli.Flag {
	return clientFlags(append([]cli.Flag{
		&cli.StringFlag{Name: "service", Usage: "service that answers", Required: true},
		&cli.StringFlag{Name: "key", Usage: "request key; the same key gives the same answer"},
		&cli.IntFlag{Name: "max-tokens", Usage: "bound on generated tokens"},
		&cli.BoolFlag{Name: "once", Usage: "must not be repeated"},
	}, more...)...)
}

// cmdAsk runs one online request.
var cmdAsk = &cli.Command{
	Name:      "ask",
	Usage:     "run one online request and stream its answer",
	ArgsUsage: "PROMPT",
	Flags:     workFlags(&cli.DurationFlag{Name: "timeout", Value: time.Minute, Usage: "give up after"}),
	Action:    ask,
}

// ask streams the answer to the first argument.
func ask(ctx context.Context, c *cli.Command) error {
	stream, err := callerClient(c).Ask(ctx, newRequest(c, &papayaquayv1.AskRequest{
		Key: c.String("key"), Service: c.String("service"), Prompt: c.Args().First(),
		MaxTokens: int32(c.Int("max-tokens")), Once: c.Bool("once"), TimeoutMs: millis(c.Duration("timeout")),
	}))
	if err != nil {
		return err
	}
	defer stream.Close()
	out := c.Root().Writer
	for stream.Receive() {
		m := stream.Msg()
		if c.Bool("json") {
			if err := printMessage(out, m); err != nil {
				return err
			}
		} else {
			printPiece(out, m)
		}
		if m.GetAnswer() != nil {
			return answerError(m.GetAnswer())
		}
	}
	if stream.Err() != nil {
		return stream.Err()
	}
	return errors.New("the stream ended without an answer")
}

// printPiece prints the text of one message for people.
func printPiece(out io.Writer, m *papayaquayv1.AskResponse) {
	fmt.Fprint(out, m.GetText())
	if m.GetAnswer() == nil {
		return
	}
	if m.GetReplaced() {
		fmt.Fprintf(out, "\nThe answer stored first is:\n%s", m.GetAnswer().GetText())
	}
	fmt.Fprintf(out, "\n[key %s]\n", m.GetKey())
}

// answerError returns an error for an answer that is not OK.
func answerError(a *papayaquayv1.Answer) error {
	if a.GetCode() == papayaquayv1.Code_CODE_OK {
		return nil
	}
	return cli.Exit(fmt.Sprintf("%s: %s", a.GetCode(), a.GetReason()), failureExit(a.GetCode()))
}

// cmdSubmit stores one request to be run later.
var cmdSubmit = &cli.Command{
	Name:      "submit",
	Usage:     "store one request durably, to be fetched later",
	ArgsUsage: "PROMPT",
	Flags:     workFlags(),
	Action: func(ctx context.Context, c *cli.Command) error {
		response, err := callerClient(c).Submit(ctx, newRequest(c, &papayaquayv1.SubmitRequest{
			Key: c.String("key"), Service: c.String("service"), Prompt: c.Args().First(),
			MaxTokens: int32(c.Int("max-tokens")), Once: c.Bool("once"),
		}))
		if err != nil {
			return err
		}
		fmt.Fprintln(c.Root().Writer, response.Msg.GetKey())
		return nil
	},
}
