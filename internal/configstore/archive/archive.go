// Package archive writes the accepted configuration versions to a bare Git repository, one commit a version, for people who want
// to read them with the tools they know.
//
// Keys of tenants are archived as the beginnings of their digests.
//
// The archive is a copy: what is stored and acknowledged never depends on it. If it's lost, corrupt or of another mesh, it's
// removed and written again from the stored versions. The commits of the main branch are stored versions in their order, from
// the oldest that was stored when the repository was begun, none left out in between.
package archive

import (
	"cmp"
	"errors"
	"fmt"
	"os"
	"slices"

	"github.com/go-git/go-git/v5"
	"github.com/go-git/go-git/v5/plumbing"

	"snowflow/internal/config"
	"snowflow/internal/transport/wire"
)

// queueLength is how many calls of Enqueue may wait for the writer.
const queueLength = 16

// Archive writes versions in a goroutine of its own.
type Archive struct {
	folder  string
	queue   chan []*wire.StoredConfig
	onError func(error)
	// writes holds a token if a write has ended since it was last read. Tests wait for it.
	writes chan struct{}
}

// Open returns an archive in a folder, which needn't exist. It starts the goroutine that writes, which runs until the process
// ends. onError is called by it with what could not be written; the next Enqueue tries again.
func Open(folder string, onError func(error)) *Archive {
	a := &Archive{
		folder:  folder,
		queue:   make(chan []*wire.StoredConfig, queueLength),
		onError: onError,
		writes:  make(chan struct{}, 1),
	}
	go a.run()
	return a
}

// Enqueue passes on all stored versions, oldest first. It never blocks: if the queue is full the call is dropped, and the next
// one brings what is missing. The versions must not be changed afterwards.
func (a *Archive) Enqueue(versions []*wire.StoredConfig) {
	select {
	case a.queue <- versions:
	default:
	}
}

func (a *Archive) run() {
	for versions := range a.queue {
		if err := Write(a.folder, versions); err != nil {
			a.onError(err)
		}
		select {
		case a.writes <- struct{}{}:
		default:
		}
	}
}

// Write commits the versions, oldest first, that the repository in a folder doesn't have, and returns when that is done. A
// repository that can't be read or continued is removed and written from the first version.
func Write(folder string, versions []*wire.StoredConfig) error {
	repository, committed, err := openRepository(folder, versions)
	if err != nil {
		if err := os.RemoveAll(folder); err != nil {
			return err
		}
		if repository, committed, err = openRepository(folder, versions); err != nil {
			return err
		}
	}
	for _, stored := range versions[committed:] {
		if err := appendCommit(repository, stored); err != nil {
			return fmt.Errorf("version %d: %w", stored.Version, err)
		}
	}
	return nil
}

// openRepository returns the repository and how many of the versions it holds already. An error means that it can't be read, or that its
// newest commit isn't one of the versions.
func openRepository(folder string, versions []*wire.StoredConfig) (repository *git.Repository, committed int, err error) {
	repository, err = git.PlainOpen(folder)
	if errors.Is(err, git.ErrRepositoryNotExists) {
		repository, err = git.PlainInit(folder, true)
	}
	if err != nil {
		return nil, 0, err
	}
	reference, err := repository.Reference(mainBranch, true)
	if errors.Is(err, plumbing.ErrReferenceNotFound) {
		return repository, 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	latest, err := readCommit(repository, reference.Hash())
	if err != nil {
		return nil, 0, err
	}
	index, found := slices.BinarySearchFunc(versions, latest.version, func(state *wire.StoredConfig, version uint64) int { return cmp.Compare(state.Version, version) })
	if !found {
		return nil, 0, fmt.Errorf("version %d of the newest commit isn't stored", latest.version)
	}
	if latest.content != string(config.Redact(versions[index].Content)) {
		return nil, 0, fmt.Errorf("version %d differs from the stored one", latest.version)
	}
	return repository, index + 1, nil
}
