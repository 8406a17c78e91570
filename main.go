// Command papayaquay serves online and batch inference on one fleet of backend
// servers.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"
)

func main() {
	app := &cli.Command{
		Name:     "papayaquay",
		Usage:    "serve online and batch inference on one fleet",
		Version:  version,
		Commands: commands(),
		ExitErrHandler: func(context.Context, *cli.Command, error) {
			// The error is printed and mapped to an exit code below.
		},
	}
	if err := app.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "papayaquay:", describe(err))
		os.Exit(exitCode(err))
	}
}

// commands returns the commands in the order of the help text.
func commands() []*cli.Command {
	return []*cli.Command{
		cmdServe, cmdRun, cmdCheckConfig, cmdDemo, cmdAsk, cmdSubmit, cmdFetch, cmdJob,
		cmdService, cmdModel, cmdAdapter, cmdAccount, cmdHistory,
		cmdStatus, cmdDrain, cmdBench, cmdVersion,
	}
}
