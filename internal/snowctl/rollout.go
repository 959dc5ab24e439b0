package snowctl

import (
	"errors"
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"snowflow/internal/snowctl/doctor"
	"snowflow/internal/snowctl/rollout"
)

var (
	// errNodesBehind makes the rollout command exit with code 1, after it has printed the nodes.
	errNodesBehind = errors.New("not every node has the newest version")
	// errNoPrimary makes the rollout command exit with code 1.
	errNoPrimary = errors.New("no configuration store responded as primary")
)

// rolloutOptions are the flags of rollout.
type rolloutOptions struct {
	wait   time.Duration
	asJSON bool
}

func rolloutCommand(client *apiClient) *cobra.Command {
	options := rolloutOptions{}
	command := &cobra.Command{Use: "rollout", Short: "show which version each node has, or wait until all have the newest", Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error {
		return followRollout(client, options)
	}}
	command.Flags().DurationVar(&options.wait, "wait", 0, "how long to wait until all nodes have the newest version; prints the progress meanwhile")
	command.Flags().BoolVar(&options.asJSON, "json", false, "print the nodes as JSON")
	return command
}

// followRollout prints the progress whenever it changes, and the nodes when the roll-out is complete or the wait ends.
func followRollout(client *apiClient, options rolloutOptions) error {
	addresses, err := client.addressList()
	if err != nil {
		return err
	}
	printed := ""
	for deadline := time.Now().Add(options.wait); ; time.Sleep(200 * time.Millisecond) {
		mesh, err := doctor.Gather(addresses, gatherTimeout)
		progress, found := rollout.FromStatuses(mesh.ConfigStores)
		if line := progress.Line(); found && line != printed && !options.asJSON {
			printed = line
			fmt.Println(line)
		}
		if found && progress.Done() {
			return printProgress(progress, options.asJSON)
		}
		if time.Now().After(deadline) {
			if !found {
				return errors.Join(errNoPrimary, err)
			}
			return printProgress(progress, options.asJSON)
		}
	}
}

// printProgress prints the nodes. It returns errNodesBehind unless all have the newest version.
func printProgress(progress rollout.Progress, asJSON bool) error {
	if asJSON {
		if err := printJSON(progress); err != nil {
			return err
		}
	} else {
		fmt.Print(progress.Table())
	}
	if !progress.Done() {
		return errNodesBehind
	}
	return nil
}
