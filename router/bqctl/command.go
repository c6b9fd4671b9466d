package bqctl

import "github.com/alecthomas/kong"

// command is the command line of bqctl.
type command struct {
	globals
	Version kong.VersionFlag `help:"Print the version and exit."`

	Validate validateCommand `cmd:"" help:"Check a document file without a cluster."`
	Apply    applyCommand    `cmd:"" help:"Show what a document changes, ask, and put it in force."`
	Document documentCommand `cmd:"" help:"Print a revision of the document."`
	History  historyCommand  `cmd:"" help:"List the accepted changes, newest first."`
	Rollback rollbackCommand `cmd:"" help:"Put an earlier revision in force again, as a new revision."`

	Status statusCommand `cmd:"" help:"Show the state of the cluster."`
	Watch  watchCommand  `cmd:"" help:"Show the state on one refreshing screen."`
	Dump   dumpCommand   `cmd:"" help:"Print a member's own state as JSON."`

	Explain explainCommand `cmd:"" help:"Find out from collected logs what became of a request."`

	Drain  drainCommand  `cmd:"" help:"Take a target, an instance or a data centre out of service."`
	Return returnCommand `cmd:"" help:"Return a target, an instance or a data centre to service."`
	Move   moveCommand   `cmd:"" help:"Move a unit to a member."`
	Split  splitCommand  `cmd:"" help:"Give a key a unit of its own."`
	Merge  mergeCommand  `cmd:"" help:"Return a split key to its shard."`

	Automation automationCommand `cmd:"" help:"Turn automatic actions on or off; decide on pending ones."`
	Control    controlCommand    `cmd:"" help:"Add, promote or remove control replicas."`

	Fleet fleetCommand `cmd:"" help:"Operate a cluster that routes by document and grants ranges of keys."`
}
