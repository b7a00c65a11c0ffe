package commandline

import (
	"strings"

	"github.com/integrii/flaggy"
)

const description = `Plans and confirms changes of a siskintide deployment.

Exit status: 0 done; 1 refused, not confirmed or failed, or a review has findings; 2 wrong
input; 3 another change came first, read the new plan. The operator key is taken from --key-file or SISKINTIDE_OPERATOR_KEY,
the admin addresses from --host or SISKINTIDE_HOSTS.`

const examples = `
  Examples:
    siskintide check examples/stemmebu/*.jsonc
    siskintide check-routes next.json --in-force current.json
    siskintide status --host 10.0.1.1:7003
    siskintide plan declarations.jsonc --output json > plan.json
    siskintide confirm plan.json
    siskintide take-out oslo-b
    siskintide drain manus-3 --yes --output json
    siskintide bring-in manus-llm 2026-11 --weight-bytes 30000000000
    siskintide push 10.0.3.1:7003 10.0.3.2:7003`

// newParser returns the parser and its commands in the order in which the help lists them.
func newParser(a *arguments) (*flaggy.Parser, []*command) {
	parser := flaggy.NewParser("siskintide")
	parser.Description = description
	parser.AdditionalHelpAppend = examples
	parser.ShowCompletion = false
	parser.DisableShowVersionWithVersion()
	parser.StringSlice(&a.hosts, "H", "host", "Admin address of an entry host, IP:port; may be repeated, the next is tried when one is down.")
	parser.String(&a.keyFile, "k", "key-file", "File that holds the operator key.")
	parser.String(&a.output, "o", "output", "text or json.")
	parser.Bool(&a.yes, "y", "yes", "Confirm without asking.")
	commands := []*command{
		newCommand(a, "check", "files", "Checks settings files and declarations; calls nothing.", runCheck),
		newCommand(a, "check-routes", "file", "Reviews a configuration for the platform; calls nothing.", runCheckRoutes),
		newCommand(a, "init", "files", "Accepts declarations as the first configuration.", runInit),
		newCommand(a, "plan", "files", "Shows what declarations would change; changes nothing.", runPlan),
		newCommand(a, "apply", "files", "Plans declarations, asks and confirms.", runApply),
		newCommand(a, "confirm", "file", "Shows a plan that was saved as JSON, asks and confirms.", runConfirm),
		newCommand(a, "status", "", "Shows hosts, targets and recent plans.", runStatus),
		newCommand(a, "take-out", "data-centre", "Takes a data centre out: it receives no new work.", runTakeOut),
		newCommand(a, "return", "data-centre", "Brings a data centre back in.", runReturn),
		newCommand(a, "drain", "targets", "Drains targets: no new work, streams end normally.", runDrain),
		newCommand(a, "undrain", "targets", "Brings targets back in.", runUndrain),
		newCommand(a, "bring-in", "model version", "Brings a model version in on all of its targets.", runBringIn),
		newCommand(a, "push", "addresses", "Carries the accepted configuration to hosts that are cut off.", runPush),
	}
	for _, c := range commands {
		addFlags(a, c)
		parser.AttachSubcommand(c.parser, 1)
	}
	return parser, commands
}

func newCommand(a *arguments, name, labels, help string, run func(*session) error) *command {
	sub := flaggy.NewSubcommand(name)
	sub.Description = help
	if labels == "" {
		return &command{parser: sub, run: run}
	}
	names := strings.Fields(labels)
	for i := range a.slots {
		label := names[min(i, len(names)-1)]
		sub.AddPositionalValue(&a.slots[i], label, i+1, i < len(names), "")
		sub.PositionalFlags[i].Hidden = i >= len(names)
	}
	return &command{parser: sub, run: run}
}

// addFlags adds the flags that only some commands have.
func addFlags(a *arguments, c *command) {
	switch c.parser.Name {
	case "take-out", "drain", "apply", "plan":
		c.parser.Bool(&a.acceptOverload, "", "accept-overload", "Allow load beyond the warm bounds of what remains.")
		c.parser.Bool(&a.acceptUnserved, "", "accept-unserved", "Allow a model or service to be left without a target.")
	case "check-routes":
		c.parser.String(&a.inForce, "", "in-force", "File with the configuration in force, to compare with.")
		c.parser.Int64(&a.hostMB, "", "host-memory-mb", "Memory of the smallest host, in MiB.")
	case "bring-in":
		c.parser.Int64(&a.weightBytes, "", "weight-bytes", "Size of the new version's weights; the declared size if absent.")
	}
	switch c.parser.Name {
	case "take-out", "return", "drain", "undrain", "bring-in":
		c.parser.Bool(&a.planOnly, "", "plan-only", "Show the plan and stop.")
	}
}
