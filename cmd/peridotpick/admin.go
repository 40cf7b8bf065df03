package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strconv"

	"github.com/google/go-cmp/cmp"
	"github.com/urfave/cli/v3"

	"peridotpick.example/common/config"
	"peridotpick.example/common/errkind"
	"peridotpick.example/lab/caller"
)

const pathConfig = "/v1/admin/config"

// printGet sends a GET request and prints the JSON answer, indented.
func printGet(cmd *cli.Command, path string) error {
	client, err := newClient(cmd)
	if err != nil {
		return err
	}
	reply, err := client.Raw(http.MethodGet, path, "", nil)
	if err != nil {
		return err
	}
	var out bytes.Buffer
	if err := json.Indent(&out, reply.Body, "", "  "); err != nil {
		return err
	}
	fmt.Println(out.String())
	return nil
}

func workerCommand() *cli.Command {
	return &cli.Command{
		Name: "worker", Usage: "inspect workers and their backend servers",
		Commands: []*cli.Command{{
			Name: "list", Usage: "list the backend servers that an entry knows, and the sleeping workers",
			Description: "Example:\n  peridotpick worker list --entry http://127.0.0.1:7001",
			Flags:       clientFlags(),
			Action:      func(_ context.Context, cmd *cli.Command) error { return printGet(cmd, "/v1/admin/workers") },
		}},
	}
}

func configCommand() *cli.Command {
	return &cli.Command{
		Name: "config", Usage: "read and change the configuration",
		Commands: []*cli.Command{configGetCommand(), configPutCommand(), configDiffCommand(), configHistoryCommand(), configValidateCommand()},
	}
}

func configGetCommand() *cli.Command {
	return &cli.Command{
		Name: "get", Usage: "print the version in force, or an older one", ArgsUsage: "[VERSION]",
		Description: "Example:\n  peridotpick config get 12",
		Flags:       clientFlags(),
		Action: func(_ context.Context, cmd *cli.Command) error {
			if number := cmd.Args().First(); number != "" {
				return printGet(cmd, pathConfig+"/history/"+number)
			}
			return printGet(cmd, pathConfig)
		},
	}
}

func configHistoryCommand() *cli.Command {
	return &cli.Command{
		Name: "history", Usage: "list the versions with their authors, oldest first",
		Description: "Example:\n  peridotpick config history --after 10",
		Flags:       clientFlags(&cli.Uint64Flag{Name: "after", Usage: "list versions after this one"}),
		Action: func(_ context.Context, cmd *cli.Command) error {
			return printGet(cmd, pathConfig+"/history?after="+strconv.FormatUint(cmd.Uint64("after"), 10))
		},
	}
}

func configValidateCommand() *cli.Command {
	return &cli.Command{
		Name: "validate", Usage: "check a document without putting it in force", ArgsUsage: "FILE",
		Description: "Example:\n  peridotpick config validate config.json",
		Flags:       clientFlags(),
		Action: func(_ context.Context, cmd *cli.Command) error {
			_, err := sendDocument(cmd, http.MethodPost, pathConfig+"/validate", "")
			if err == nil {
				fmt.Println("valid")
			}
			return err
		},
	}
}

// sendDocument sends the file that the command's argument names; base is the version that the file
// replaces, as the value of If-Match, or empty. With an error the reply is that of the entry, if
// there is one.
func sendDocument(cmd *cli.Command, method, path, base string) (*caller.Reply, error) {
	client, name, err := clientAndArg(cmd, "FILE")
	if err != nil {
		return nil, err
	}
	document, err := os.ReadFile(name)
	if err != nil {
		return nil, errkind.NewField(errkind.InvalidRequest, "FILE", err.Error())
	}
	return client.Raw(method, path, base, document)
}

func configPutCommand() *cli.Command {
	return &cli.Command{
		Name: "put", Usage: "replace a version of the configuration by a file", ArgsUsage: "FILE",
		Description: "Example:\n  peridotpick config put --base 12 config.json\n" +
			"If version 12 is no longer in force, nothing is changed, and the difference between the file and the version in force is shown.",
		Flags: clientFlags(&cli.Uint64Flag{Name: "base", Required: true, Usage: "version that the file replaces; 0 if there is none"}),
		Action: func(_ context.Context, cmd *cli.Command) error {
			reply, err := sendDocument(cmd, http.MethodPut, pathConfig, fmt.Sprintf("%q", strconv.FormatUint(cmd.Uint64("base"), 10)))
			var failure *caller.Failure
			if errors.As(err, &failure) && failure.Kind() == errkind.ConfigConflict {
				printWinner(cmd, reply.Body)
			}
			if err != nil {
				return err
			}
			return printAccepted(reply.Body)
		},
	}
}

// printAccepted prints the number of the version that a change was accepted as.
func printAccepted(body []byte) error {
	var version config.Version
	if err := json.Unmarshal(body, &version); err != nil {
		return err
	}
	fmt.Printf("version %d is accepted\n", version.Number)
	return nil
}

// printWinner prints how the version in force, which won over the file, differs from it.
func printWinner(cmd *cli.Command, body []byte) {
	var conflict struct {
		Winner config.Version `json:"winner"`
	}
	file, err := os.ReadFile(cmd.Args().First())
	if err != nil || json.Unmarshal(body, &conflict) != nil {
		return
	}
	fmt.Printf("version %d by %s is in force; difference from the file (-) to it (+):\n%s",
		conflict.Winner.Number, conflict.Winner.Author, diffDocuments(file, conflict.Winner.Document))
}

// diffDocuments returns the difference between two JSON documents, from a (-) to b (+), whatever
// their formatting.
func diffDocuments(a, b []byte) string {
	var left, right any
	if json.Unmarshal(a, &left) != nil || json.Unmarshal(b, &right) != nil {
		return "a document is not valid JSON\n"
	}
	return cmp.Diff(left, right)
}

func configDiffCommand() *cli.Command {
	return &cli.Command{
		Name: "diff", Usage: "show how a file differs from the version in force", ArgsUsage: "FILE",
		Description: "Example:\n  peridotpick config diff config.json",
		Flags:       clientFlags(),
		Action: func(_ context.Context, cmd *cli.Command) error {
			client, name, err := clientAndArg(cmd, "FILE")
			if err != nil {
				return err
			}
			file, err := os.ReadFile(name)
			if err != nil {
				return errkind.NewField(errkind.InvalidRequest, "FILE", err.Error())
			}
			reply, err := client.Raw(http.MethodGet, pathConfig, "", nil)
			if err != nil {
				return err
			}
			var version config.Version
			if err := json.Unmarshal(reply.Body, &version); err != nil {
				return err
			}
			fmt.Print(diffDocuments(version.Document, file))
			return nil
		},
	}
}
