package main

import (
	"fmt"
	"os"
	"strings"

	"github.com/mattn/go-isatty"
	"github.com/urfave/cli/v3"
)

// Output formats.
const (
	outputText = "text"
	outputJSON = "json"
)

func outputFlag() cli.Flag {
	return &cli.StringFlag{Name: "output", Value: outputText, Usage: "text, or json for scripts"}
}

// barWidth is the width of a progress bar in characters.
const barWidth = 30

// progressBar returns a function that draws progress on a terminal, or nil if
// standard error is none.
func progressBar(title string, total int) func(int) {
	if !isatty.IsTerminal(os.Stderr.Fd()) || total == 0 {
		return nil
	}
	last := -1
	return func(done int) {
		filled := done * barWidth / total
		if filled == last && done < total {
			return
		}
		last = filled
		fmt.Fprintf(os.Stderr, "\r%s [%s%s] %d/%d", title, strings.Repeat("#", filled), strings.Repeat(".", barWidth-filled), done, total)
		if done == total {
			fmt.Fprintln(os.Stderr)
		}
	}
}
