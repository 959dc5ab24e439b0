// Package snowctl implements the operators' command line: desired states and their roll-out, the mesh's status and common faults,
// manual control of breakers, and graceful shutdowns. Each command, except those that only read files, sends one or a few requests to
// the admin address of a configuration store or a proxy.
//
// Exit codes: 0 for success, 1 for a failure or a negative result such as a rejected state or an unhealthy mesh, 2 for wrong usage.
package snowctl

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	"github.com/spf13/cobra"

	"snowflow/internal/daemon"
	"snowflow/internal/release"
)

// defaultAddresses is the admin address of a configuration store on the same machine.
const defaultAddresses = "127.0.0.1:7201"

// Root returns the root command with all its subcommands.
func Root() *cobra.Command {
	client := &apiClient{httpClient: &http.Client{Timeout: configStoreTimeout}}
	root := &cobra.Command{Use: "snowctl", Short: "command line for operators of snowflow", SilenceUsage: true, SilenceErrors: true, Version: release.Version}
	flags := root.PersistentFlags()
	flags.StringVar(&client.addresses, "addresses", defaultAddresses, "comma-separated admin addresses of configuration stores")
	flags.StringVar(&client.addresses, "desks", defaultAddresses, "the former name of --addresses")
	deprecateFlag(flags, "desks", "addresses")
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return daemon.NewUsageError(err) })
	root.AddCommand(applyCommand(client), checkCommand(), getCommand(client), historyCommand(client), diffCommand(client), rolloutCommand(client),
		statusCommand(client), tenantsCommand(client), breakerCommand(), drainCommand(), doctorCommand(client), safeCommand(client))
	return root
}

// printResponse prints a response's JSON, indented. It returns err, the error of send, unless that is nil.
func printResponse(resp response, err error) error {
	if err != nil {
		return err
	}
	if resp.code != http.StatusOK {
		return resp.statusError()
	}
	var indented bytes.Buffer
	if err := json.Indent(&indented, resp.body, "", "  "); err != nil {
		return err
	}
	fmt.Println(strings.TrimSpace(indented.String()))
	return nil
}

// printJSON prints a value as indented JSON.
func printJSON(value any) error {
	content, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return err
	}
	fmt.Println(string(content))
	return nil
}
