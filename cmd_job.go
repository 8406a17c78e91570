package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"os"

	papayaquayv1 "papayaquay/proto/papayaquay/v1"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
)

// maxItemsPerCall is the maximum number of items sent in one SubmitJob call.
const maxItemsPerCall = 1000

// maxPromptBytes is the maximum length of a line of a job file.
const maxPromptBytes = 1 << 20

// cmdJob is the command that submits, inspects and cancels jobs.
var cmdJob = &cli.Command{
	Name:  "job",
	Usage: "submit, inspect and cancel jobs of many items",
	Commands: []*cli.Command{
		{
			Name: "submit", Usage: "store a job; FILE has one prompt per line, - is standard input", ArgsUsage: "JOB FILE",
			Flags: requestFlags(), Action: submitJob,
		},
		{
			Name: "status", Usage: "print the progress of a job", ArgsUsage: "JOB", Flags: clientFlags(),
			Action: func(ctx context.Context, c *cli.Command) error {
				response, err := callerClient(c).GetJob(ctx, newRequest(c, &papayaquayv1.GetJobRequest{Job: c.Args().First()}))
				if err != nil {
					return err
				}
				return printJob(c, response.Msg.GetStatus())
			},
		},
		{
			Name: "cancel", Usage: "cancel a job", ArgsUsage: "JOB", Flags: clientFlags(),
			Action: func(ctx context.Context, c *cli.Command) error {
				response, err := callerClient(c).CancelJob(ctx, newRequest(c, &papayaquayv1.CancelJobRequest{Job: c.Args().First()}))
				if err != nil {
					return err
				}
				return printJob(c, response.Msg.GetStatus())
			},
		},
		{
			Name: "results", Usage: "print the answers of finished items", ArgsUsage: "JOB",
			Flags: clientFlags(&cli.IntFlag{Name: "from", Usage: "index of the first item to print"}), Action: printResults,
		},
	},
}

// submitJob sends the items of a job, at most maxItemsPerCall in each call.
// Submitting is idempotent: the same command can be run again after a failure.
func submitJob(ctx context.Context, c *cli.Command) error {
	prompts, err := readLines(c.Args().Get(1))
	if err != nil {
		return err
	}
	var status *papayaquayv1.JobStatus
	for offset := 0; offset < len(prompts); offset += maxItemsPerCall {
		var items []*papayaquayv1.Item
		for _, prompt := range prompts[offset:min(offset+maxItemsPerCall, len(prompts))] {
			items = append(items, &papayaquayv1.Item{Prompt: prompt, MaxTokens: int32(c.Int("max-tokens"))})
		}
		response, err := callerClient(c).SubmitJob(ctx, newRequest(c, &papayaquayv1.SubmitJobRequest{
			Job: c.Args().First(), Service: c.String("service"), Total: int32(len(prompts)),
			Offset: int32(offset), Items: items, Once: c.Bool("once"),
		}))
		if err != nil {
			return err
		}
		status = response.Msg.GetStatus()
		if !c.Bool("json") {
			fmt.Fprintf(os.Stderr, "\rstored %d of %d", status.GetReceived(), len(prompts))
		}
	}
	if !c.Bool("json") {
		fmt.Fprintln(os.Stderr)
	}
	return printJob(c, status)
}

// readLines reads the lines of a file, or of standard input if path is "-". A
// file without lines is an error.
func readLines(path string) ([]string, error) {
	var in io.Reader = os.Stdin
	if path != "-" {
		f, err := os.Open(path)
		if err != nil {
			return nil, errors.Wrap(err, "open job file")
		}
		defer f.Close()
		in = f
	}
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, maxPromptBytes)
	var prompts []string
	for lines.Scan() {
		prompts = append(prompts, lines.Text())
	}
	if len(prompts) == 0 {
		return nil, errors.New("the job file has no lines")
	}
	return prompts, errors.Wrap(lines.Err(), "read job file")
}

// printJob prints the status of a job.
func printJob(c *cli.Command, s *papayaquayv1.JobStatus) error {
	if c.Bool("json") {
		return printMessage(c.Root().Writer, s)
	}
	state := "open"
	switch {
	case s.GetCancelled():
		state = "cancelled"
	case s.GetFinished():
		state = "finished"
	}
	fmt.Fprintf(c.Root().Writer, "%s: %s, %d of %d items done (%d failed), %d running\n",
		s.GetJob(), state, s.GetDone(), s.GetTotal(), s.GetFailed(), s.GetRunning())
	return nil
}

// printResults prints the answers of a job's finished items as they arrive.
func printResults(ctx context.Context, c *cli.Command) error {
	stream, err := callerClient(c).ListResults(ctx, newRequest(c, &papayaquayv1.ListResultsRequest{
		Job: c.Args().First(), From: int32(c.Int("from")),
	}))
	if err != nil {
		return err
	}
	defer stream.Close()
	for stream.Receive() {
		m := stream.Msg()
		if c.Bool("json") {
			if err := printMessage(c.Root().Writer, m); err != nil {
				return err
			}
			continue
		}
		fmt.Fprintf(c.Root().Writer, "%d\t%s\t%s%s\n", m.GetIndex(), m.GetAnswer().GetCode(), m.GetAnswer().GetText(), m.GetAnswer().GetReason())
	}
	return stream.Err()
}
