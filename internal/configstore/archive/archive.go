// Package archive writes the accepted configuration versions to a bare Git repository, one commit per version, so that operators can
// inspect them with Git tools.
//
// Tenants' keys are redacted: only the beginnings of their digests are archived.
//
// The archive is a copy: storing and acknowledging versions never depends on it. If it's lost, corrupt or from another mesh, it's removed
// and written again from the stored versions. The commits of the main branch are versions in ascending order without omissions, starting
// from the oldest that was stored when the repository was created.
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

// queueLength is the number of calls of Enqueue that may wait for the writer.
const queueLength = 16

// Archive writes versions in a separate goroutine.
type Archive struct {
	folder  string
	queue   chan []*wire.StoredConfig
	onError func(error)
	// writes receives a token when a write has ended, unless it holds one already. Tests wait for it.
	writes chan struct{}
}

// Open returns an archive in a folder, which needn't exist. It starts the writer goroutine, which runs until the process ends. The writer
// calls onError if a write fails; the write is retried after the next Enqueue.
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

// Enqueue passes all stored versions, oldest first, to the writer. It never blocks: if the queue is full, the call is dropped, and a
// later call supplies the missing versions. The versions must not be changed afterwards.
func (a *Archive) Enqueue(versions []*wire.StoredConfig) {
	select {
	case a.queue <- versions:
	default:
	}
}

// run writes the enqueued versions.
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

// Write commits those of the given versions that the repository in a folder doesn't have yet, and returns when they are written. The
// versions are sorted, oldest first. A repository that can't be read, or whose newest commit doesn't match the versions, is removed and
// written anew.
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
			return fmt.Errorf("archive: version %d can't be committed: %w", stored.Version, err)
		}
	}
	return nil
}

// openRepository opens or creates the repository, and returns how many of the versions, from the oldest, need not be written. An error
// means that the repository can't be read or that its newest commit isn't one of the versions.
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
	index, found := slices.BinarySearchFunc(versions, latest.version, func(stored *wire.StoredConfig, version uint64) int { return cmp.Compare(stored.Version, version) })
	if !found {
		return nil, 0, fmt.Errorf("archive: version %d of the newest commit isn't among the stored versions", latest.version)
	}
	if latest.content != string(config.Redact(versions[index].Content)) {
		return nil, 0, fmt.Errorf("archive: the newest commit's version %d differs from the stored one", latest.version)
	}
	return repository, index + 1, nil
}
