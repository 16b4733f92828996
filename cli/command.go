package cli

import "flag"

// Command is a command with its parsed arguments: Ask, Call, JobSubmit, JobStatus, JobList,
// JobCancel, JobResults, TicketSubmit, TicketShow, VMs, Runners, Drain, SettingsCheck, Explain, Where
// or Version.
type Command interface {
	isCommand()
	// defineFlags registers the flags of the command.
	defineFlags(fs *flag.FlagSet)
	// operands stores the arguments that are not flags.
	operands(args []string)
}

// commandSpec describes how a command is named, documented and created.
type commandSpec struct {
	name        string // one or two words, such as "job submit"
	args        string // operands, as the usage shows them
	summary     string
	example     string
	minOperands int
	maxOperands int
	create      func() Command
}

// commands lists all commands in the order in which the usage shows them.
var commands = []commandSpec{
	{
		name: "ask", args: "PROMPT", minOperands: 1, maxOperands: 1, create: func() Command { return new(Ask) },
		summary: "Streams a model's response; the prompt '-' is read from standard input.",
		example: `crocusstile ask -tenant lehre -model tutor "What is a load chart?"`,
	},
	{
		name: "call", args: "SERVICE METHOD [BODY]", minOperands: 2, maxOperands: 3, create: func() Command { return new(Call) },
		summary: "Calls a method of a plain service; the body is JSON, '-' reads it from standard input.",
		example: `crocusstile call -tenant lehre -key mark-4711 -non-idempotent records-app registerMark '{"mark":2}'`,
	},
	{
		name: "job submit", args: "FILE", minOperands: 1, maxOperands: 1, create: func() Command { return new(JobSubmit) },
		summary: "Submits a batch job from JSON lines, one item per line; '-' reads standard input.",
		example: `crocusstile job submit -tenant nacht -due 8h -wait digests.jsonl`,
	},
	{
		name: "job status", args: "[JOB]", maxOperands: 1, create: func() Command { return new(JobStatus) },
		summary: "Shows a job's state and item counts; the job is named by its id or by -key.",
		example: `crocusstile job status -tenant nacht -key shift-2031-04-02`,
	},
	{
		name: "job list", create: func() Command { return new(JobList) },
		summary: "Lists the jobs whose shards the VM owns.",
		example: `crocusstile job list`,
	},
	{
		name: "job cancel", args: "[JOB]", maxOperands: 1, create: func() Command { return new(JobCancel) },
		summary: "Cancels a job; items that have ended keep their results.",
		example: `crocusstile job cancel -tenant nacht -key shift-2031-04-02`,
	},
	{
		name: "job results", args: "[JOB]", maxOperands: 1, create: func() Command { return new(JobResults) },
		summary: "Prints the results of a job's ended items, also while the job runs.",
		example: `crocusstile job results -tenant nacht -key shift-2031-04-02 -json`,
	},
	{
		name: "ticket submit", args: "FILE", minOperands: 1, maxOperands: 1, create: func() Command { return new(TicketSubmit) },
		summary: "Files a change ticket, a JSON file with the complete new state of one scope.",
		example: `crocusstile ticket submit examples/tickets/deployment-tutor.json`,
	},
	{
		name: "ticket show", args: "[SCOPE]", maxOperands: 1, create: func() Command { return new(TicketShow) },
		summary: "Shows the tickets in force on the VM.",
		example: `crocusstile ticket show deployment/tutor`,
	},
	{
		name: "vms", create: func() Command { return new(VMs) },
		summary: "Lists the entry VMs that the VM knows, with their state.",
		example: `crocusstile vms`,
	},
	{
		name: "runners", create: func() Command { return new(Runners) },
		summary: "Lists the runners that the VM knows, with their state and load.",
		example: `crocusstile runners -service tutor-models`,
	},
	{
		name: "drain", create: func() Command { return new(Drain) },
		summary: "Drains the VM: it finishes its requests and leaves the system.",
		example: `crocusstile drain -addr 10.0.1.7:8080`,
	},
	{
		name: "settings check", args: "FILE", minOperands: 1, maxOperands: 1, create: func() Command { return new(SettingsCheck) },
		summary: "Checks a settings file of the daemon without starting it.",
		example: `crocusstile settings check examples/hebewerk.json`,
	},
	{
		name: "explain", args: "ID [FILE...]", minOperands: 1, maxOperands: maxExplainOperands, create: func() Command { return new(Explain) },
		summary: "Traces a request, job or item through the logs of entry VMs and shows what decided its outcome.",
		example: `crocusstile explain 9c41d07be2a35f68 vm-*.log`,
	},
	{
		name: "where", args: "HOST PATH", minOperands: 2, maxOperands: 2, create: func() Command { return new(Where) },
		summary: "Asks an entry VM, at its metrics port, where a request or an item would go now and why.",
		example: `crocusstile where -addr 10.0.1.7:9100 -tokens 540,400 -prefix 9c2e41:300,e1:240 tutor.example /v1/ask`,
	},
	{
		name: "version", create: func() Command { return new(Version) },
		summary: "Prints the version of this program.",
		example: `crocusstile version`,
	},
}
