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
	// errUnsafe ends safe with exit code 1, after the objections were printed.
	errUnsafe = errors.New("not safe to stop now")
	// errUnhealthy ends doctor with exit code 1, after its findings were printed.
	errUnhealthy = errors.New("the mesh is not healthy")
)

// gatherTimeout bounds one reading of the mesh's status.
const gatherTimeout = 5 * time.Second

func statusCommand(client *apiClient) *cobra.Command {
	return &cobra.Command{Use: "status", Short: "show the status of the control plane, the proxies and the breakers", Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error {
		return printResponse(client.send(http.MethodGet, "/status", nil))
	}}
}

func tenantsCommand(client *apiClient) *cobra.Command {
	return &cobra.Command{Use: "tenants", Short: "list the tenants of the newest version, with the beginnings of their keys' digests", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			return printResponse(client.send(http.MethodGet, "/tenants", nil))
		}}
}

func breakerCommand() *cobra.Command {
	return &cobra.Command{Use: "breaker PROXY-ADDRESS SERVICE force_open|disable|metrics_only|reset", Aliases: []string{"guard"},
		Short: "set a manual control of a service's breaker at one proxy", Args: cobra.ExactArgs(3),
		RunE: func(command *cobra.Command, arguments []string) error {
			warnFormerName(command)
			return sendToProxy(arguments[0], http.MethodPost, "/guards/"+arguments[1]+"/"+arguments[2])
		}}
}

func drainCommand() *cobra.Command {
	return &cobra.Command{Use: "drain PROXY-ADDRESS", Short: "have one proxy respond to the requests that it has read, and stop", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, arguments []string) error {
			return sendToProxy(arguments[0], http.MethodPost, "/drain")
		}}
}

func safeCommand(client *apiClient) *cobra.Command {
	wait := time.Duration(0)
	command := &cobra.Command{Use: "safe NAME...", Short: "report whether control plane processes may be stopped, moved or emptied now, or wait until they may",
		Args: cobra.MinimumNArgs(1), RunE: func(_ *cobra.Command, names []string) error { return awaitSafe(client, names, wait) }}
	command.Flags().DurationVar(&wait, "wait", 0, "how long to wait until it is safe")
	return command
}

// awaitSafe waits until the processes may be stopped. After the wait it prints what is in the way.
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
	command := &cobra.Command{Use: "doctor", Short: "look for common faults; each finding says what to do", Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error {
		addresses, err := client.addressList()
		if err != nil {
			return err
		}
		if timeout <= 0 {
			return daemon.NewUsageError(errors.New("--timeout must be above zero"))
		}
		return printFindings(doctor.Examine(addresses, timeout), asJSON)
	}}
	command.Flags().DurationVar(&timeout, "timeout", timeout, "how long the whole examination may take")
	command.Flags().DurationVar(&timeout, "patience", timeout, "the former name of --timeout")
	deprecateFlag(command.Flags(), "patience", "timeout")
	command.Flags().BoolVar(&asJSON, "json", false, "print the findings as JSON")
	return command
}

// printFindings prints the doctor's findings. It fails if any of them is not healthy.
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
