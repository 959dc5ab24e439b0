package snowctl

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/spf13/cobra"

	"snowflow/internal/daemon"
	"snowflow/internal/snowctl/doctor"
)

var (
	// errUnsafe makes the safe command exit with code 1, after it has printed the objections.
	errUnsafe = errors.New("not safe to stop now")
	// errUnhealthy makes the doctor command exit with code 1, after it has printed the findings.
	errUnhealthy = errors.New("the mesh is not healthy")
)

// gatherTimeout bounds one attempt to gather the mesh's status.
const gatherTimeout = 5 * time.Second

func statusCommand(client *apiClient) *cobra.Command {
	return &cobra.Command{Use: "status", Short: "show the status of the control plane, the proxies and the breakers", Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error {
		return printResponse(client.send(http.MethodGet, "/status", nil))
	}}
}

func tenantsCommand(client *apiClient) *cobra.Command {
	return &cobra.Command{Use: "tenants", Short: "list the tenants of the newest version, with shortened digests of their keys", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			return printResponse(client.send(http.MethodGet, "/tenants", nil))
		}}
}

func breakerCommand() *cobra.Command {
	return &cobra.Command{Use: "breaker PROXY-ADDRESS SERVICE force_open|disable|metrics_only|reset", Aliases: []string{"guard"},
		Short: "set the manual control of a service's breaker at one proxy", Args: cobra.ExactArgs(3),
		RunE: func(command *cobra.Command, arguments []string) error {
			warnFormerName(command)
			return sendToProxy(arguments[0], http.MethodPost, "/guards/"+arguments[1]+"/"+arguments[2])
		}}
}

func drainCommand() *cobra.Command {
	return &cobra.Command{Use: "drain PROXY-ADDRESS", Short: "shut one proxy down after it has responded to the requests that it has read", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, arguments []string) error {
			return sendToProxy(arguments[0], http.MethodPost, "/drain")
		}}
}

func safeCommand(client *apiClient) *cobra.Command {
	wait := time.Duration(0)
	command := &cobra.Command{Use: "safe NAME...", Short: "report whether control plane processes can safely be stopped, moved or wiped now, or wait until they can",
		Args: cobra.MinimumNArgs(1), RunE: func(_ *cobra.Command, names []string) error { return awaitSafe(client, names, wait) }}
	command.Flags().DurationVar(&wait, "wait", 0, "how long to wait until it is safe")
	return command
}

// awaitSafe waits until the processes can safely be stopped. If the wait ends first, it prints the objections and returns an error.
func awaitSafe(client *apiClient, names []string, wait time.Duration) error {
	addresses, err := client.addressList()
	if err != nil {
		return err
	}
	for deadline := time.Now().Add(wait); ; time.Sleep(500 * time.Millisecond) {
		mesh, err := doctor.Gather(addresses, gatherTimeout)
		unknown, objections := doctor.StopObjections(mesh, names)
		if err == nil && len(unknown) > 0 {
			return daemon.NewUsageError(fmt.Errorf("no control plane process is named %v", unknown))
		}
		if err == nil && len(objections) == 0 {
			fmt.Println("safe")
			return nil
		}
		if time.Now().After(deadline) {
			for _, objection := range objections {
				fmt.Println(objection)
			}
			return errors.Join(errUnsafe, err)
		}
	}
}

func doctorCommand(client *apiClient) *cobra.Command {
	timeout, asJSON := 5*time.Second, false
	command := &cobra.Command{Use: "doctor", Short: "look for common faults and suggest what to do about each", Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error {
		addresses, err := client.addressList()
		if err != nil {
			return err
		}
		if timeout <= 0 {
			return daemon.NewUsageError(errors.New("--timeout must be above zero"))
		}
		return printFindings(doctor.Examine(addresses, timeout), asJSON)
	}}
	command.Flags().DurationVar(&timeout, "timeout", timeout, "how long gathering the mesh's status may take in total")
	command.Flags().DurationVar(&timeout, "patience", timeout, "the former name of --timeout")
	deprecateFlag(command.Flags(), "patience", "timeout")
	command.Flags().BoolVar(&asJSON, "json", false, "print the findings as JSON")
	return command
}

// printFindings prints the doctor's findings. It returns errUnhealthy if any of them is not Healthy.
func printFindings(findings []doctor.Finding, asJSON bool) error {
	if asJSON {
		if err := printJSON(findings); err != nil {
			return err
		}
	} else {
		for _, finding := range findings {
			fmt.Println(finding)
		}
	}
	if doctor.MostSevere(findings) != doctor.Healthy {
		return errUnhealthy
	}
	return nil
}
