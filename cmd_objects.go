package main

import (
	"context"
	"fmt"
	"os/user"
	"text/tabwriter"
	"time"

	"papayaquay/core/outcome"
	"papayaquay/io/rpc"
	papayaquayv1 "papayaquay/proto/papayaquay/v1"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
)

// Commands that list and change configuration objects, one for each kind.
var (
	cmdService = objectCommand("service", "services",
		&cli.StringFlag{Name: "protocol", Value: "engine", Usage: "protocol of the backend servers: engine or plain"},
		&cli.StringFlag{Name: "model", Usage: "model that the service runs"},
		&cli.StringFlag{Name: "adapter", Usage: "adapter that is applied to the model"},
		&cli.BoolFlag{Name: "cut-refuse", Usage: "refuse requests whose home ledger is unreachable"})
	cmdModel = objectCommand("model", "model versions",
		&cli.StringFlag{Name: "version", Usage: "version that engines load"})
	cmdAdapter = objectCommand("adapter", "adapters",
		&cli.StringFlag{Name: "model", Usage: "model that the adapter belongs to"},
		&cli.StringFlag{Name: "version", Usage: "version that engines load"})
	cmdAccount = objectCommand("account", "limits of caller accounts",
		&cli.Float64Flag{Name: "rate", Usage: "requests per second, 0 for no limit"},
		&cli.IntFlag{Name: "burst", Usage: "maximum number of requests in a burst"},
		&cli.IntFlag{Name: "in-flight", Usage: "maximum number of running requests, 0 for no limit"},
		&cli.StringFlag{Name: "new-secret", Usage: "secret that callers must send"})
)

// objectCommand returns the command that lists and changes objects of a kind.
// flags are the settings of such an object.
func objectCommand(kind, usage string, flags ...cli.Flag) *cli.Command {
	changeFlags := []cli.Flag{
		&cli.StringFlag{Name: "operation", Usage: "operation id, random by default; an operation is applied at most once"},
		&cli.Uint64Flag{Name: "based-on", Usage: "revision of the object that the change is based on, 0 for a new object"},
		&cli.StringFlag{Name: "operator", Usage: "operator name in the history, by default the current user"},
	}
	return &cli.Command{
		Name: kind, Usage: "list and change " + usage,
		Commands: []*cli.Command{
			{
				Name: "list", Usage: "print the current objects", Flags: clientFlags(),
				Action: func(ctx context.Context, c *cli.Command) error { return listObjects(ctx, c, kind) },
			},
			{
				Name: "set", Usage: "create or change an object", ArgsUsage: "NAME", Flags: clientFlags(append(flags, changeFlags...)...),
				Action: func(ctx context.Context, c *cli.Command) error { return changeObject(ctx, c, kind, false) },
			},
			{
				Name: "delete", Usage: "delete an object", ArgsUsage: "NAME", Flags: clientFlags(changeFlags...),
				Action: func(ctx context.Context, c *cli.Command) error { return changeObject(ctx, c, kind, true) },
			},
		},
	}
}

// changeObject sets or deletes the object that the first argument names. A
// change that is not applied is outcome.ErrConflict.
func changeObject(ctx context.Context, c *cli.Command, kind string, remove bool) error {
	operation := c.String("operation")
	if operation == "" {
		operation = newOperationID()
	}
	spec := &papayaquayv1.Spec{Protocol: c.String("protocol"), Model: c.String("model"), Adapter: c.String("adapter"),
		Version: c.String("version"), Rate: c.Float("rate"), Burst: int32(c.Int("burst")), InFlight: int32(c.Int("in-flight")),
		CutRefuse: c.Bool("cut-refuse")}
	if secret := c.String("new-secret"); secret != "" {
		spec.SecretHash = rpc.HashSecret(secret)
	}
	response, err := operatorClient(c).ApplyChange(ctx, newRequest(c, &papayaquayv1.ApplyChangeRequest{
		Operation: operation, Operator: operatorName(c), Kind: kind, Name: c.Args().First(), Spec: spec,
		Delete: remove, BasedOn: c.Uint64("based-on"),
	}))
	if err != nil {
		return errors.Wrapf(err, "operation %s", operation)
	}
	result := response.Msg
	if c.Bool("json") {
		if err := printMessage(c.Root().Writer, result); err != nil {
			return err
		}
	} else if result.GetApplied() {
		fmt.Fprintf(c.Root().Writer, "revision %d\n", result.GetRevision())
	}
	if !result.GetApplied() {
		return errors.Wrapf(outcome.ErrConflict, "%s (revision %d)", result.GetReason(), result.GetRevision())
	}
	return nil
}

// operatorName returns the name of the operator who makes a change: the flag
// --operator, else the current user, else "unknown".
func operatorName(c *cli.Command) string {
	if name := c.String("operator"); name != "" {
		return name
	}
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}

// listObjects prints the current objects of a kind.
func listObjects(ctx context.Context, c *cli.Command, kind string) error {
	response, err := operatorClient(c).ListObjects(ctx, newRequest(c, &papayaquayv1.ListObjectsRequest{Kind: kind}))
	if err != nil {
		return err
	}
	if c.Bool("json") {
		return printMessage(c.Root().Writer, response.Msg)
	}
	table := tabwriter.NewWriter(c.Root().Writer, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "NAME\tREVISION\tSETTINGS")
	for _, o := range response.Msg.GetObjects() {
		fmt.Fprintf(table, "%s\t%d\t%s\n", o.GetName(), o.GetRevision(), o.GetSpec())
	}
	return errors.Wrap(table.Flush(), "print")
}

// cmdHistory is the command that prints the newest configuration changes.
var cmdHistory = &cli.Command{
	Name:  "history",
	Usage: "print the newest configuration changes",
	Flags: clientFlags(&cli.IntFlag{Name: "limit", Value: 20, Usage: "maximum number of changes"}),
	Action: func(ctx context.Context, c *cli.Command) error {
		response, err := operatorClient(c).ListHistory(ctx, newRequest(c, &papayaquayv1.ListHistoryRequest{Limit: int32(c.Int("limit"))}))
		if err != nil {
			return err
		}
		if c.Bool("json") {
			return printMessage(c.Root().Writer, response.Msg)
		}
		table := tabwriter.NewWriter(c.Root().Writer, 0, 4, 2, ' ', 0)
		fmt.Fprintln(table, "REVISION\tTIME\tOPERATOR\tOBJECT\tSETTINGS")
		for _, e := range response.Msg.GetEvents() {
			o := e.GetObject()
			settings := o.GetSpec().String()
			if o.GetDeleted() {
				settings = "deleted"
			}
			fmt.Fprintf(table, "%d\t%s\t%s\t%s/%s\t%s\n", o.GetRevision(), time.UnixMilli(e.GetAtUnixMs()).UTC().Format(time.RFC3339),
				e.GetOperator(), o.GetKind(), o.GetName(), settings)
		}
		return errors.Wrap(table.Flush(), "print")
	},
}
