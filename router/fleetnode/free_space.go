package fleetnode

import (
	"time"

	"bramleyquay.example/router/logging"
	"bramleyquay.example/router/store"
)

// roomPause lies between two looks at a full disk: short against the time in
// which an operator makes room.
const roomPause = 500 * time.Millisecond

// awaitRoom waits until the disk takes bytes. A replica that ended because its
// disk is full is started again by whatever runs it; without the wait it would
// end at its first write, again and again.
func awaitRoom(fsys store.FS, pause time.Duration, log logging.Logger) error {
	begun, told := time.Now(), false
	for {
		room, err := store.HasFreeSpace(fsys)
		switch {
		case err != nil:
			return Error.Wrap(err)
		case room && told:
			log.Info().Dur("waited", time.Since(begun)).Msg("disk takes bytes again")
			return nil
		case room:
			return nil
		}
		if !told {
			log.Error().Msg("disk is full; the replica waits for room")
			told = true
		}
		time.Sleep(pause)
	}
}
