package fleetnode

import "bramleyquay.example/coord/fleet"

// proposeQuota proposes which processes may hold allotments of limits. The leader's tasks
// return the command again if it is not applied.
func (r *Replica) proposeQuota(command fleet.Command) {
	data, err := fleet.EncodeCommand(command)
	if err == nil {
		_, err = r.raft.Propose(data)
	}
	if err != nil {
		r.log.Warn().Err(err).Msg("registration of processes for limits of accounts could not be proposed")
		return
	}
	change := command.RegisterQuota
	r.log.Info().Int("added", len(change.Add)).Int("removed", len(change.Remove)).Msg("registration of processes for limits of accounts proposed")
}
