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

// cmdStatus is the command that prints the state of the system.
var cmdStatus = &cli.Command{
	Name:  "status",
	Usage: "print instances, ledgers, backend servers and current problems",
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

// printStatus prints a status response as tables, followed by the current
// problems.
func printStatus(c *cli.Command, m *papayaquayv1.GetStatusResponse) error {
	out := c.Root().Writer
	fmt.Fprintf(out, "answered by %s in %s, version %s, configuration revision %d\n\n", m.GetInstance(), m.GetDataCentre(), m.GetVersion(), m.GetRevision())
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "INSTANCE\tDATA CENTRE\tADDRESS\tSTATE")
	for _, i := range m.GetInstances() {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\n", i.GetName(), i.GetDataCentre(), i.GetAddress(), i.GetState())
	}
	fmt.Fprintln(table, "\nLEDGER\tROLE HERE\tLEADER\tTERM\tCOMMIT\tMEMBERS")
	for _, l := range m.GetLedgers() {
		fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%d\t%s\n", l.GetLedger(), l.GetRole(), l.GetLeader(), l.GetTerm(), l.GetCommit(), strings.Join(l.GetMembers(), ", "))
	}
	fmt.Fprintln(table, "\nBACKEND SERVER\tDATA CENTRE\tSTATE\tSLOTS\tONLINE\tBATCH\tSERVICES")
	for _, b := range m.GetBackends() {
		fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%d\t%d\t%s\n", b.GetId(), b.GetDataCentre(), b.GetState(), b.GetSlots(), b.GetOnline(), b.GetBatch(), strings.Join(b.GetServices(), ","))
	}
	if err := table.Flush(); err != nil {
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

// cmdDrain is the command that starts the graceful shutdown of an instance.
var cmdDrain = &cli.Command{
	Name:  "drain",
	Usage: "start a graceful shutdown of the instance at --entry",
	Flags: clientFlags(),
	Action: func(ctx context.Context, c *cli.Command) error {
		_, err := operatorClient(c).Drain(ctx, newRequest(c, &papayaquayv1.DrainRequest{}))
		return err
	},
}
