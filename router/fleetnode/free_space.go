package fleetnode

import (
	"time"

	"bramleyquay.example/router/logging"
	"bramleyquay.example/router/store"
)

// freeSpaceInterval is the time between two checks of a full disk. It is short
// compared with the time that an operator needs to free disk space.
const freeSpaceInterval = 500 * time.Millisecond

// awaitFreeSpace blocks until the disk has free space. A replica that stopped
// because its disk is full is restarted by its supervisor; without the wait it
// would stop again at its first write, in a loop. It returns an error if the
// disk cannot be written for another reason.
func awaitFreeSpace(fsys store.FS, interval time.Duration, log logging.Logger) error {
	start, logged := time.Now(), false
	for {
		free, err := store.HasFreeSpace(fsys)
		switch {
		case err != nil:
			return Error.Wrap(err)
		case free && logged:
			log.Info().Dur("waited", time.Since(start)).Msg("disk has free space again")
			return nil
		case free:
			return nil
		}
		if !logged {
			log.Error().Msg("disk is full; the replica waits for free space")
			logged = true
		}
		time.Sleep(interval)
	}
}
