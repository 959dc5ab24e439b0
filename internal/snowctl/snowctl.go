// Package snowctl is the operators' command line: desired states and their roll-out, the mesh's status and common faults, breakers'
// manual controls, and planned stops. Each command is one request to the admin address of a configuration store or a proxy, or a few.
//
// Exit codes: 0 for success, 1 for a negative result such as a rejected state or an unhealthy mesh, 2 for wrong usage.
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

// defaultAddresses is where a configuration store on the same machine listens for operators.
const defaultAddresses = "127.0.0.1:7201"

// Root makes the command line.
func Root() *cobra.Command {
	client := &apiClient{httpClient: &http.Client{Timeout: configStoreTimeout}}
	root := &cobra.Command{Use: "snowctl", Short: "the operators' command line of snowflow", SilenceUsage: true, SilenceErrors: true, Version: release.Version}
	flags := root.PersistentFlags()
	flags.StringVar(&client.addresses, "addresses", defaultAddresses, "admin addresses of configuration stores, with commas between")
	flags.StringVar(&client.addresses, "desks", defaultAddresses, "the former name of --addresses")
	deprecateFlag(flags, "desks", "addresses")
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return daemon.NewUsageError(err) })
	root.AddCommand(applyCommand(client), checkCommand(), getCommand(client), historyCommand(client), diffCommand(client), rolloutCommand(client),
		statusCommand(client), tenantsCommand(client), breakerCommand(), drainCommand(), doctorCommand(client), safeCommand(client))
	return root
}

// printResponse prints a response's JSON, indented. Its parameters are the results of send.
func printResponse(received response, err error) error {
	if err != nil {
		return err
	}
	if received.code != http.StatusOK {
		return received.statusError()
	}
	var indented bytes.Buffer
	if err := json.Indent(&indented, received.body, "", "  "); err != nil {
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
