package fleetnode

import "bramleyquay.example/coord/fleet"

// proposeForgetDepartures proposes to drop the departures of processes that are gone. The
// leader's tasks return the command again if it is not applied.
func (r *Replica) proposeForgetDepartures(command fleet.Command) {
	data, err := fleet.EncodeCommand(command)
	if err == nil {
		_, err = r.raft.Propose(data)
	}
	r.log.Info().Strs("processes", command.ForgetDepartures.Processes).AnErr("refused", err).Msg("departures of targets of processes that are gone are dropped")
}
