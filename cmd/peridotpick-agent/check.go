package main

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"peridotpick.example/common/settings"
)

func checkCommand() *cli.Command {
	return &cli.Command{
		Name: "check", Usage: "check a settings file and report every mistake",
		Description: "Example:\n  peridotpick-agent check --settings deploy/association/agent-01.json",
		Flags:       []cli.Flag{settingsFlag()},
		Action: func(_ context.Context, cmd *cli.Command) error {
			if _, err := settings.LoadAgent(cmd.String("settings")); err != nil {
				return err
			}
			fmt.Println("the settings are valid")
			return nil
		},
	}
}
