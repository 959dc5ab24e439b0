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
	branch = plumbing.ReferenceName("refs/heads/main")
	file   = "desired-state.json"
)

// Archive writes in a task of its own. Invariant: the branch's commits are accepted states in the order of their serials, from
// the oldest that was kept when it was begun to some serial, none left out between.
type Archive struct {
	folder  string
	pending chan []*wire.StoredConfig
	trouble func(error)
	written chan struct{}
}

// Open starts an archive in a folder; trouble is told what could not be written.
func Open(folder string, trouble func(error)) *Archive {
	archive := &Archive{folder: folder, pending: make(chan []*wire.StoredConfig, 16), trouble: trouble, written: make(chan struct{}, 1)}
	go func() {
		for states := range archive.pending {
			if err := archive.write(states); err != nil {
				trouble(err)
			}
			select {
			case archive.written <- struct{}{}:
			default:
			}
		}
	}()
	return archive
}

// Keep hands over all accepted states, oldest first. It never waits: what is dropped here comes with the next one.
func (archive *Archive) Keep(states []*wire.StoredConfig) {
	select {
	case archive.pending <- states:
	default:
	}
}

func (archive *Archive) write(states []*wire.StoredConfig) error {
	repository, last, err := archive.open(states)
	if err != nil {
		// Whatever is there can't be read or isn't ours: begin anew.
		if err := os.RemoveAll(archive.folder); err != nil {
			return err
		}
		if repository, last, err = archive.open(states); err != nil {
			return err
		}
	}
	for _, kept := range states[last:] {
		if err := commit(repository, kept); err != nil {
			return fmt.Errorf("serial %d: %w", kept.Version, err)
		}
	}
	return nil
}

// open gives the repository and how many of the states it holds. A newest commit that isn't the state of its serial, or whose
// serial isn't kept, is an error.
func (archive *Archive) open(states []*wire.StoredConfig) (*git.Repository, int, error) {
	repository, err := git.PlainOpen(archive.folder)
	if errors.Is(err, git.ErrRepositoryNotExists) {
		repository, err = git.PlainInit(archive.folder, true)
	}
	if err != nil {
		return nil, 0, err
	}
	reference, err := repository.Reference(branch, true)
	if errors.Is(err, plumbing.ErrReferenceNotFound) {
		return repository, 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	newest, err := repository.CommitObject(reference.Hash())
	if err != nil {
		return nil, 0, err
	}
	serial := uint64(0)
	_, err = fmt.Sscanf(newest.Message, "serial %d", &serial)
	index, kept := slices.BinarySearchFunc(states, serial, func(state *wire.StoredConfig, serial uint64) int { return cmp.Compare(state.Version, serial) })
	if err != nil || !kept {
		return nil, 0, fmt.Errorf("the newest commit %q is no state of this mesh", newest.Message)
	}
	entry, err := newest.File(file)
	if err != nil {
		return nil, 0, err
	}
	content, err := entry.Contents()
	if err != nil {
		return nil, 0, err
	}
	if content != string(states[index].Content) {
		return nil, 0, fmt.Errorf("serial %d differs from the record file", serial)
	}
	return repository, index + 1, nil
}

func commit(repository *git.Repository, kept *wire.StoredConfig) error {
	blob, err := store(repository, plumbing.BlobObject, func(encoded plumbing.EncodedObject) error {
		writer, err := encoded.Writer()
		if err != nil {
			return err
		}
		_, err = writer.Write(kept.Content)
		return errors.Join(err, closed(writer))
	})
	if err != nil {
		return err
	}
	tree, err := store(repository, plumbing.TreeObject, (&object.Tree{Entries: []object.TreeEntry{{Name: file, Mode: filemode.Regular, Hash: blob}}}).Encode)
	if err != nil {
		return err
	}
	// The record file keeps no wall-clock time, so neither does the copy: the same states make the same commits.
	signature := object.Signature{Name: "snowflow postmaster", Email: "postmaster@snowflow", When: time.Unix(int64(kept.Version), 0).UTC()}
	made := &object.Commit{Author: signature, Committer: signature, TreeHash: tree,
		Message: fmt.Sprintf("serial %d\n\ndigest %s\nrequest %s\n", kept.Version, kept.Digest, kept.Request)}
	if parent, err := repository.Reference(branch, true); err == nil {
		made.ParentHashes = []plumbing.Hash{parent.Hash()}
	}
	hash, err := store(repository, plumbing.CommitObject, made.Encode)
	if err != nil {
		return err
	}
	return errors.Join(repository.Storer.SetReference(plumbing.NewHashReference(branch, hash)),
		repository.Storer.SetReference(plumbing.NewSymbolicReference(plumbing.HEAD, branch)))
}

func closed(writer io.Closer) error { return writer.Close() }

func store(repository *git.Repository, kind plumbing.ObjectType, encode func(plumbing.EncodedObject) error) (plumbing.Hash, error) {
	encoded := repository.Storer.NewEncodedObject()
	encoded.SetType(kind)
	if err := encode(encoded); err != nil {
		return plumbing.ZeroHash, err
	}
	return repository.Storer.SetEncodedObject(encoded)
}
