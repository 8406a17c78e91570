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

// Commands that change configuration objects, one for each kind.
var (
	cmdService = objectCommand("service", "services that callers name",
		&cli.StringFlag{Name: "protocol", Value: "engine", Usage: "engine or plain"},
		&cli.StringFlag{Name: "model", Usage: "model that the service runs"},
		&cli.StringFlag{Name: "adapter", Usage: "adapter on top of the model"},
		&cli.BoolFlag{Name: "cut-refuse", Usage: "refuse keys whose home ledger is out of reach"})
	cmdModel = objectCommand("model", "model versions",
		&cli.StringFlag{Name: "version", Usage: "version that engines load"})
	cmdAdapter = objectCommand("adapter", "adapters",
		&cli.StringFlag{Name: "model", Usage: "model that the adapter belongs to"},
		&cli.StringFlag{Name: "version", Usage: "version that engines load"})
	cmdAccount = objectCommand("account", "limits of caller accounts",
		&cli.Float64Flag{Name: "rate", Usage: "requests a second, 0 for no limit"},
		&cli.IntFlag{Name: "burst", Usage: "requests at once"},
		&cli.IntFlag{Name: "in-flight", Usage: "running requests, 0 for no limit"},
		&cli.StringFlag{Name: "new-secret", Usage: "secret that callers must send"})
)

// objectCommand returns the command of one kind of object.
func objectCommand(kind, usage string, flags ...cli.Flag) *cli.Command {
	changeFlags := []cli.Flag{
		&cli.StringFlag{Name: "operation", Usage: "operation id; the same one never acts twice"},
		&cli.Uint64Flag{Name: "based-on", Usage: "revision of the object as seen, 0 for a new one"},
		&cli.StringFlag{Name: "operator", Usage: "name in the history"},
	}
	return &cli.Command{
		Name: kind, Usage: "list and change " + usage,
		Commands: []*cli.Command{
			{
				Name: "list", Usage: "print the objects in force", Flags: clientFlags(),
				Action: func(ctx context.Context, c *cli.Command) error { return listObjects(ctx, c, kind) },
			},
			{
				Name: "set", Usage: "create or change one", ArgsUsage: "NAME", Flags: clientFlags(append(flags, changeFlags...)...),
				Action: func(ctx context.Context, c *cli.Command) error { return changeObject(ctx, c, kind, false) },
			},
			{
				Name: "delete", Usage: "delete one", ArgsUsage: "NAME", Flags: clientFlags(changeFlags...),
				Action: func(ctx context.Context, c *cli.Command) error { return changeObject(ctx, c, kind, true) },
			},
		},
	}
}

// changeObject sets or deletes an object.
func changeObject(ctx context.Context, c *cli.Command, kind string, remove bool) error {
	operation := c.String("operation")
	if operation == "" {
		operation = newOperation()
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
	m := response.Msg
	if c.Bool("json") {
		if err := printMessage(c.Root().Writer, m); err != nil {
			return err
		}
	} else if m.GetApplied() {
		fmt.Fprintf(c.Root().Writer, "revision %d\n", m.GetRevision())
	}
	if !m.GetApplied() {
		return errors.Wrapf(outcome.ErrConflict, "%s (revision %d)", m.GetReason(), m.GetRevision())
	}
	return nil
}

// operatorName returns who makes a change.
func operatorName(c *cli.Command) string {
	if name := c.String("operator"); name != "" {
		return name
	}
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}

// listObjects prints the objects of a kind.
func listObjects(ctx context.Context, c *cli.Command, kind string) error {
	response, err := operatorClient(c).ListObjects(ctx, newRequest(c, &papayaquayv1.ListObjectsRequest{Kind: kind}))
	if err != nil {
		return err
	}
	if c.Bool("json") {
		return printMessage(c.Root().Writer, response.Msg)
	}
	t := tabwriter.NewWriter(c.Root().Writer, 0, 4, 2, ' ', 0)
	fmt.Fprintln(t, "NAME\tREVISION\tSETTINGS")
	for _, o := range response.Msg.GetObjects() {
		fmt.Fprintf(t, "%s\t%d\t%s\n", o.GetName(), o.GetRevision(), o.GetSpec())
	}
	return errors.Wrap(t.Flush(), "print")
}

// cmdHistory prints the newest configuration changes.
var cmdHistory = &cli.Command{
	Name:  "history",
	Usage: "print the newest configuration changes",
	Flags: clientFlags(&cli.IntFlag{Name: "limit", Value: 20, Usage: "number of changes"}),
	Action: func(ctx context.Context, c *cli.Command) error {
		response, err := operatorClient(c).ListHistory(ctx, newRequest(c, &papayaquayv1.ListHistoryRequest{Limit: int32(c.Int("limit"))}))
		if err != nil {
			return err
		}
		if c.Bool("json") {
			return printMessage(c.Root().Writer, response.Msg)
		}
		t := tabwriter.NewWriter(c.Root().Writer, 0, 4, 2, ' ', 0)
		fmt.Fprintln(t, "REVISION\tTIME\tOPERATOR\tOBJECT\tSETTINGS")
		for _, e := range response.Msg.GetEvents() {
			o := e.GetObject()
			settings := o.GetSpec().String()
			if o.GetDeleted() {
				settings = "deleted"
			}
			fmt.Fprintf(t, "%d\t%s\t%s\t%s/%s\t%s\n", o.GetRevision(), time.UnixMilli(e.GetAtUnixMs()).UTC().Format(time.RFC3339),
				e.GetOperator(), o.GetKind(), o.GetName(), settings)
		}
		return errors.Wrap(t.Flush(), "print")
	},
}
