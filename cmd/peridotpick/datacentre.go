package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"

	"github.com/urfave/cli/v3"

	"peridotpick.example/common/config"
	"peridotpick.example/common/errkind"
)

func dataCentreCommand() *cli.Command {
	return &cli.Command{
		Name: "data-centre", Usage: "drain data centres, or end their drain",
		Commands: []*cli.Command{drainCommand("drain", true), drainCommand("undrain", false)},
	}
}

func drainCommand(name string, drain bool) *cli.Command {
	usage := "give the backend servers of a data centre no new tasks; running tasks end"
	if !drain {
		usage = "give the backend servers of a drained data centre tasks again"
	}
	return &cli.Command{
		Name: name, Usage: usage, ArgsUsage: "DATA_CENTRE",
		Description: "Example:\n  peridotpick data-centre " + name + " hall-a\n" +
			"Replaces the configuration in force. If another change replaces it first, nothing is changed: repeat the command.",
		Flags:  clientFlags(),
		Action: func(_ context.Context, cmd *cli.Command) error { return setDrained(cmd, drain) },
	}
}

// setDrained replaces the configuration in force by one in which the data centre that the command's
// argument names is drained, or is not.
func setDrained(cmd *cli.Command, drain bool) error {
	client, name, err := clientAndArg(cmd, "DATA_CENTRE")
	if err != nil {
		return err
	}
	reply, err := client.Raw(http.MethodGet, pathConfig, "", nil)
	if err != nil {
		return err
	}
	var base config.Version
	if err := json.Unmarshal(reply.Body, &base); err != nil {
		return err
	}
	document, changed, err := withDrained(base.Document, name, drain)
	if err != nil {
		return err
	}
	if !changed {
		fmt.Printf("version %d is in force and needs no change\n", base.Number)
		return nil
	}
	if reply, err = client.Raw(http.MethodPut, pathConfig, fmt.Sprintf("%q", strconv.FormatUint(base.Number, 10)), document); err != nil {
		return err
	}
	return printAccepted(reply.Body)
}

// withDrained returns the document with a data centre drained, or not drained, and all else
// unchanged, and whether it differs from the given one.
func withDrained(document json.RawMessage, name string, drain bool) (edited json.RawMessage, changed bool, err error) {
	fields := make(map[string]json.RawMessage)
	if err := json.Unmarshal(document, &fields); err != nil {
		return nil, false, errkind.NewField(errkind.InvalidRequest, "/", "the configuration in force is not a JSON object")
	}
	var drained []string
	if raw := fields["drained"]; raw != nil {
		if err := json.Unmarshal(raw, &drained); err != nil {
			return nil, false, errkind.NewField(errkind.InvalidRequest, "/drained", err.Error())
		}
	}
	if slices.Contains(drained, name) == drain {
		return document, false, nil
	}
	if drain {
		drained = append(drained, name)
	} else {
		drained = slices.DeleteFunc(drained, func(drainedName string) bool { return drainedName == name })
	}
	if fields["drained"], err = json.Marshal(drained); err != nil {
		return nil, false, err
	}
	edited, err = json.Marshal(fields)
	return edited, true, err
}
