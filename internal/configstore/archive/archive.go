// Package archive also keeps accepted desired states as commits of a Git-like object store, for people who want to
// read them with the tools they know. It's a copy: the record file decides, an acknowledgement never waits for
// this one, and when it's lost or spoiled it's written anew from the record file.
package archive

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"time"

	"github.com/go-git/go-git/v5"
	"github.com/go-git/go-git/v5/plumbing"
	"github.com/go-git/go-git/v5/plumbing/filemode"
	"github.com/go-git/go-git/v5/plumbing/object"

	"snowflow/internal/transport/wire"
)

const (
	mainBranch  = plumbing.ReferenceName("refs/heads/main")
	contentFile = "desired-state.json"
)

// Archive writes in a task of its own. Invariant: the branch's commits are accepted states in the order of their serials, from
// the oldest that was kept when it was begun to some serial, none left out between.
type Archive struct {
	folder  string
	queue   chan []*wire.StoredConfig
	onError func(error)
	writes  chan struct{}
}

// Open starts an archive in a folder; trouble is told what could not be written.
func Open(folder string, onError func(error)) *Archive {
	a := &Archive{folder: folder, queue: make(chan []*wire.StoredConfig, 16), onError: onError, writes: make(chan struct{}, 1)}
	go func() {
		for states := range a.queue {
			if err := a.write(states); err != nil {
				onError(err)
			}
			select {
			case a.writes <- struct{}{}:
			default:
			}
		}
	}()
	return a
}

// Enqueue hands over all accepted states, oldest first. It never waits: what is dropped here comes with the next one.
func (a *Archive) Enqueue(states []*wire.StoredConfig) {
	select {
	case a.queue <- states:
	default:
	}
}

func (a *Archive) write(states []*wire.StoredConfig) error {
	repository, last, err := a.open(states)
	if err != nil {
		// Whatever is there can't be read or isn't ours: begin anew.
		if err := os.RemoveAll(a.folder); err != nil {
			return err
		}
		if repository, last, err = a.open(states); err != nil {
			return err
		}
	}
	for _, stored := range states[last:] {
		if err := appendCommit(repository, stored); err != nil {
			return fmt.Errorf("serial %d: %w", stored.Version, err)
		}
	}
	return nil
}

// open gives the repository and how many of the states it holds. A newest commit that isn't the state of its serial, or whose
// serial isn't kept, is an error.
func (a *Archive) open(states []*wire.StoredConfig) (*git.Repository, int, error) {
	repository, err := git.PlainOpen(a.folder)
	if errors.Is(err, git.ErrRepositoryNotExists) {
		repository, err = git.PlainInit(a.folder, true)
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
	latest, err := repository.CommitObject(reference.Hash())
	if err != nil {
		return nil, 0, err
	}
	version := uint64(0)
	_, err = fmt.Sscanf(latest.Message, "serial %d", &version)
	index, found := slices.BinarySearchFunc(states, version, func(state *wire.StoredConfig, version uint64) int { return cmp.Compare(state.Version, version) })
	if err != nil || !found {
		return nil, 0, fmt.Errorf("the newest commit %q is no state of this mesh", latest.Message)
	}
	entry, err := latest.File(contentFile)
	if err != nil {
		return nil, 0, err
	}
	content, err := entry.Contents()
	if err != nil {
		return nil, 0, err
	}
	if content != string(states[index].Content) {
		return nil, 0, fmt.Errorf("serial %d differs from the record file", version)
	}
	return repository, index + 1, nil
}

func appendCommit(repository *git.Repository, stored *wire.StoredConfig) error {
	blob, err := storeObject(repository, plumbing.BlobObject, func(encoded plumbing.EncodedObject) error {
		writer, err := encoded.Writer()
		if err != nil {
			return err
		}
		_, err = writer.Write(stored.Content)
		return errors.Join(err, closeWriter(writer))
	})
	if err != nil {
		return err
	}
	tree, err := storeObject(repository, plumbing.TreeObject, (&object.Tree{Entries: []object.TreeEntry{{Name: contentFile, Mode: filemode.Regular, Hash: blob}}}).Encode)
	if err != nil {
		return err
	}
	// The record file keeps no wall-clock time, so neither does the copy: the same states make the same commits.
	signature := object.Signature{Name: "snowflow postmaster", Email: "postmaster@snowflow", When: time.Unix(int64(stored.Version), 0).UTC()}
	commit := &object.Commit{Author: signature, Committer: signature, TreeHash: tree,
		Message: fmt.Sprintf("serial %d\n\ndigest %s\nrequest %s\n", stored.Version, stored.Digest, stored.Request)}
	if parent, err := repository.Reference(mainBranch, true); err == nil {
		commit.ParentHashes = []plumbing.Hash{parent.Hash()}
	}
	hash, err := storeObject(repository, plumbing.CommitObject, commit.Encode)
	if err != nil {
		return err
	}
	return errors.Join(repository.Storer.SetReference(plumbing.NewHashReference(mainBranch, hash)),
		repository.Storer.SetReference(plumbing.NewSymbolicReference(plumbing.HEAD, mainBranch)))
}

func closeWriter(writer io.Closer) error { return writer.Close() }

func storeObject(repository *git.Repository, kind plumbing.ObjectType, encode func(plumbing.EncodedObject) error) (plumbing.Hash, error) {
	encoded := repository.Storer.NewEncodedObject()
	encoded.SetType(kind)
	if err := encode(encoded); err != nil {
		return plumbing.ZeroHash, err
	}
	return repository.Storer.SetEncodedObject(encoded)
}
