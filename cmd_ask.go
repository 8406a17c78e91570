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

// requestFlags returns the flags of commands that send a request, followed by
// more.
func requestFlags(more ...cli.Flag) []cli.Flag {
	return clientFlags(append([]cli.Flag{
		&cli.StringFlag{Name: "service", Usage: "service that runs the request", Required: true},
		&cli.StringFlag{Name: "key", Usage: "request key; requests with the same key get the same answer"},
		&cli.IntFlag{Name: "max-tokens", Usage: "maximum number of generated tokens"},
		&cli.BoolFlag{Name: "once", Usage: "run the request at most once; never retry it"},
	}, more...)...)
}

// cmdAsk is the command that runs one online request.
var cmdAsk = &cli.Command{
	Name:      "ask",
	Usage:     "run one online request and stream the answer",
	ArgsUsage: "PROMPT",
	Flags:     requestFlags(&cli.DurationFlag{Name: "timeout", Value: time.Minute, Usage: "time limit of the request"}),
	Action:    ask,
}

// ask runs an online request with the first argument as its prompt and prints
// the answer while it arrives. It returns an error unless the answer is OK.
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
			printAskResponse(out, m)
		}
		if m.GetAnswer() != nil {
			return answerError(m.GetAnswer())
		}
	}
	if stream.Err() != nil {
		return stream.Err()
	}
	return errors.New("the response stream ended without an answer")
}

// printAskResponse prints one message of the response stream as plain text.
func printAskResponse(out io.Writer, m *papayaquayv1.AskResponse) {
	fmt.Fprint(out, m.GetText())
	if m.GetAnswer() == nil {
		return
	}
	if m.GetReplaced() {
		fmt.Fprintf(out, "\nThe answer stored first is:\n%s", m.GetAnswer().GetText())
	}
	fmt.Fprintf(out, "\n[key %s]\n", m.GetKey())
}

// answerError returns nil for an answer that is OK, otherwise an error with the
// exit code of the outcome.
func answerError(a *papayaquayv1.Answer) error {
	if a.GetCode() == papayaquayv1.Code_CODE_OK {
		return nil
	}
	return cli.Exit(fmt.Sprintf("%s: %s", a.GetCode(), a.GetReason()), outcomeExitCode(a.GetCode()))
}

// cmdSubmit is the command that stores one request, which runs later.
var cmdSubmit = &cli.Command{
	Name:      "submit",
	Usage:     "store one request durably and print its key; read the answer with fetch",
	ArgsUsage: "PROMPT",
	Flags:     requestFlags(),
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
