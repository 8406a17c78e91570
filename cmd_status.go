package main

import (
	"context"
	"fmt"
	"strings"
	"text/tabwriter"

	papayaquayv1 "papayaquay/proto/papayaquay/v1"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
)

// cmdStatus prints the state of the system.
var cmdStatus = &cli.Command{
	Name:  "status",
	Usage: "print instances, ledgers, backend servers and what is wrong now",
	Flags: clientFlags(),
	Action: func(ctx context.Context, c *cli.Command) error {
		response, err := operatorClient(c).GetStatus(ctx, newRequest(c, &papayaquayv1.GetStatusRequest{}))
		if err != nil {
			return err
		}
		if c.Bool("json") {
			return printMessage(c.Root().Writer, response.Msg)
		}
		return printStatus(c, response.Msg)
	},
}

// printStatus prints a status report as tables.
func printStatus(c *cli.Command, m *papayaquayv1.GetStatusResponse) error {
	out := c.Root().Writer
	fmt.Fprintf(out, "answered by %s in %s, version %s, configuration revision %d\n\n", m.GetInstance(), m.GetDataCentre(), m.GetVersion(), m.GetRevision())
	t := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(t, "INSTANCE\tDATA CENTRE\tADDRESS\tSTATE")
	for _, i := range m.GetInstances() {
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\n", i.GetName(), i.GetDataCentre(), i.GetAddress(), i.GetState())
	}
	fmt.Fprintln(t, "\nLEDGER\tROLE HERE\tLEADER\tTERM\tCOMMIT\tMEMBERS")
	for _, l := range m.GetLedgers() {
		fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%d\t%s\n", l.GetLedger(), l.GetRole(), l.GetLeader(), l.GetTerm(), l.GetCommit(), strings.Join(l.GetMembers(), ", "))
	}
	fmt.Fprintln(t, "\nBACKEND SERVER\tDATA CENTRE\tSTATE\tSLOTS\tONLINE\tBATCH\tSERVICES")
	for _, b := range m.GetBackends() {
		fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%d\t%d\t%s\n", b.GetId(), b.GetDataCentre(), b.GetState(), b.GetSlots(), b.GetOnline(), b.GetBatch(), strings.Join(b.GetServices(), ","))
	}
	if err := t.Flush(); err != nil {
		return errors.Wrap(err, "print")
	}
	fmt.Fprintln(out)
	if len(m.GetProblems()) == 0 {
		fmt.Fprintln(out, "no problems")
	}
	for _, p := range m.GetProblems() {
		fmt.Fprintln(out, "problem:", p)
	}
	return nil
}

// cmdDrain shuts an instance down as planned.
var cmdDrain = &cli.Command{
	Name:  "drain",
	Usage: "start a graceful shutdown of the instance at --entry",
	Flags: clientFlags(),
	Action: func(ctx context.Context, c *cli.Command) error {
		_, err := operatorClient(c).Drain(ctx, newRequest(c, &papayaquayv1.DrainRequest{}))
		return err
	},
}
