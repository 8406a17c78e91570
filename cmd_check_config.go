package main

import (
	"context"
	"fmt"

	"papayaquay/io/settings"

	"github.com/urfave/cli/v3"
)

// cmdCheckConfig is the command that checks a settings file.
var cmdCheckConfig = &cli.Command{
	Name:  "check-config",
	Usage: "check a settings file without starting anything",
	Flags: []cli.Flag{configFlag, &cli.BoolFlag{Name: "show", Usage: "print the settings with all defaults; secrets are redacted"},
		&cli.BoolFlag{Name: "fleet", Usage: "check the file as settings of the run command"}},
	Action: func(_ context.Context, c *cli.Command) error {
		if c.Bool("fleet") {
			if _, err := settings.LoadFleet(c.String("config")); err != nil {
				return err
			}
			fmt.Fprintln(c.Root().Writer, "ok")
			return nil
		}
		s, err := settings.Load(c.String("config"))
		if err != nil {
			return err
		}
		if !c.Bool("show") {
			fmt.Fprintln(c.Root().Writer, "ok")
			return nil
		}
		text, err := s.RedactedTOML()
		if err == nil {
			fmt.Fprint(c.Root().Writer, text)
		}
		return err
	},
}
