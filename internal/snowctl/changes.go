package snowctl

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/spf13/cobra"

	"snowflow/internal/config"
	"snowflow/internal/config/changes"
	"snowflow/internal/configstore/api"
	"snowflow/internal/daemon"
	"snowflow/internal/snowctl/doctor"
	"snowflow/internal/snowctl/rollout"
)

// printed shows a comparison, one resource a line.
func printChanges(comparison api.Comparison) {
	for _, list := range []struct {
		sign  string
		items []changes.ResourceChange
	}{{"+", comparison.Summary.Added}, {"~", comparison.Summary.Changed}, {"-", comparison.Summary.Removed}} {
		for _, one := range list.items {
			fmt.Printf("%s %s %s", list.sign, one.Kind, one.Name)
			for index, field := range one.Fields {
				fmt.Print(map[bool]string{true: ": ", false: ", "}[index == 0], field)
			}
			fmt.Println()
		}
	}
	fmt.Printf("%d added, %d changed, %d removed; %d bytes, the whole has %d\n", len(comparison.Summary.Added), len(comparison.Summary.Changed), len(comparison.Summary.Removed), comparison.DifferenceBytes, comparison.FullBytes)
}

func fetchChanges(client *apiClient, method, path string, content []byte) (api.Comparison, error) {
	var comparison api.Comparison
	code, answer, err := client.send(method, path, content)
	if err == nil && code != http.StatusOK {
		err = fmt.Errorf("status %d: %s", code, answer)
	}
	if err == nil {
		err = json.Unmarshal(answer, &comparison)
	}
	return comparison, err
}

// preview shows what an apply of a content would change, and where.
func previewApply(client *apiClient, content []byte) error {
	comparison, err := fetchChanges(client, http.MethodPost, "/changes", content)
	if err != nil {
		return err
	}
	printChanges(comparison)
	fmt.Printf("it would follow serial %d, and go to %d nodes; nothing was applied\n", comparison.From, comparison.Proxies)
	return nil
}

// local reads a file, or gives nothing where the argument is a serial.
func readSet(argument string) (*changes.Set, int, error) {
	if _, err := strconv.ParseUint(argument, 10, 64); err == nil {
		return nil, 0, nil
	}
	content, err := os.ReadFile(argument)
	if err != nil {
		return nil, 0, daemon.NewUsageError(err)
	}
	set, err := api.ParseSet(config.Parse, content)
	return set, len(content), err
}

func diffCommand(client *apiClient) *cobra.Command {
	return &cobra.Command{Use: "diff A B", Short: "show in what B differs from A: two files, or two serials", Args: cobra.ExactArgs(2), RunE: func(_ *cobra.Command, arguments []string) error {
		base, _, err := readSet(arguments[0])
		if err != nil {
			return err
		}
		next, length, err := readSet(arguments[1])
		if err != nil {
			return err
		}
		if (base == nil) != (next == nil) {
			return daemon.NewUsageError(errors.New("name two files or two serials; a file against the newest serial is apply --preview"))
		}
		comparison := api.Comparison{FullBytes: length}
		if base == nil {
			if comparison, err = fetchChanges(client, http.MethodGet, "/changes?from="+arguments[0]+"&to="+arguments[1], nil); err != nil {
				return err
			}
		} else {
			difference := changes.Diff(base, next)
			comparison.Summary = changes.Summarize(base, difference)
			content, err := changes.Encode(difference, 0, config.Digest(nil))
			if err != nil {
				return err
			}
			comparison.DifferenceBytes = len(content)
		}
		printChanges(comparison)
		return nil
	}}
}

// errBehind ends rollout with exit code 1.
var errBehind = errors.New("not every node has the newest version")

func rolloutCommand(client *apiClient) *cobra.Command {
	wait, asJSON := time.Duration(0), false
	command := &cobra.Command{Use: "rollout", Short: "show which node has which version, or wait until all have the newest", Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error {
		addresses, err := client.addressList()
		if err != nil {
			return err
		}
		shown := ""
		for deadline := time.Now().Add(wait); ; time.Sleep(200 * time.Millisecond) {
			mesh, err := doctor.Gather(addresses, 5*time.Second)
			progress, found := rollout.FromStatuses(mesh.ConfigStores)
			if line := progress.Line(); found && line != shown && !asJSON {
				shown = line
				fmt.Println(line)
			}
			if found && progress.Done() || time.Now().After(deadline) {
				return reportRollout(progress, found, asJSON, err)
			}
		}
	}}
	command.Flags().DurationVar(&wait, "wait", 0, "how long to wait until all nodes have the newest version; progress is shown meanwhile")
	command.Flags().BoolVar(&asJSON, "json", false, "print the nodes as JSON")
	return command
}

// ended prints how a roll-out stands at the end.
func reportRollout(progress rollout.Progress, found, asJSON bool, err error) error {
	if !found {
		return errors.Join(errors.New("no primary postmaster answered"), err)
	}
	if asJSON {
		content, err := json.MarshalIndent(progress, "", "  ")
		if err != nil {
			return err
		}
		fmt.Println(string(content))
	} else {
		fmt.Print(progress.Table())
	}
	if !progress.Done() {
		return errBehind
	}
	return nil
}
