package archive

import (
	"errors"
	"fmt"
	"time"

	"github.com/go-git/go-git/v5"
	"github.com/go-git/go-git/v5/plumbing"
	"github.com/go-git/go-git/v5/plumbing/filemode"
	"github.com/go-git/go-git/v5/plumbing/object"

	"snowflow/internal/config"
	"snowflow/internal/transport/wire"
)

// The names below are part of the archive's format, which people and other builds read; they must not change.
const (
	mainBranch  = plumbing.ReferenceName("refs/heads/main")
	contentFile = "desired-state.json"
	authorName  = "snowflow postmaster"
	authorEmail = "postmaster@snowflow"
	// subjectFormat is the first line of a commit's message, with the version.
	subjectFormat = "serial %d"
)

// committedVersion is the version in a commit.
type committedVersion struct {
	version uint64
	content string
}

// readCommit returns the version in a commit. It fails if the commit wasn't created by appendCommit.
func readCommit(repository *git.Repository, hash plumbing.Hash) (committedVersion, error) {
	commit, err := repository.CommitObject(hash)
	if err != nil {
		return committedVersion{}, err
	}
	version := uint64(0)
	if _, err = fmt.Sscanf(commit.Message, subjectFormat, &version); err != nil {
		return committedVersion{}, fmt.Errorf("commit %q isn't a configuration version: %w", commit.Message, err)
	}
	entry, err := commit.File(contentFile)
	if err != nil {
		return committedVersion{}, err
	}
	content, err := entry.Contents()
	return committedVersion{version: version, content: content}, err
}

// appendCommit adds a version to the main branch. The commit time is derived from the version number, because no wall-clock time is
// stored with a version, so the same versions always give the same commits.
func appendCommit(repository *git.Repository, stored *wire.StoredConfig) error {
	blob, err := storeObject(repository, plumbing.BlobObject, func(encoded plumbing.EncodedObject) error {
		return writeContent(encoded, config.Redact(stored.Content))
	})
	if err != nil {
		return err
	}
	tree := &object.Tree{Entries: []object.TreeEntry{{Name: contentFile, Mode: filemode.Regular, Hash: blob}}}
	treeHash, err := storeObject(repository, plumbing.TreeObject, tree.Encode)
	if err != nil {
		return err
	}
	signature := object.Signature{Name: authorName, Email: authorEmail, When: time.Unix(int64(stored.Version), 0).UTC()}
	commit := &object.Commit{
		Author:    signature,
		Committer: signature,
		TreeHash:  treeHash,
		Message:   fmt.Sprintf(subjectFormat+"\n\ndigest %s\nrequest %s\n", stored.Version, stored.Digest, stored.Request),
	}
	if parent, err := repository.Reference(mainBranch, true); err == nil {
		commit.ParentHashes = []plumbing.Hash{parent.Hash()}
	}
	hash, err := storeObject(repository, plumbing.CommitObject, commit.Encode)
	if err != nil {
		return err
	}
	return errors.Join(
		repository.Storer.SetReference(plumbing.NewHashReference(mainBranch, hash)),
		repository.Storer.SetReference(plumbing.NewSymbolicReference(plumbing.HEAD, mainBranch)))
}

// writeContent writes the content of a Git object.
func writeContent(encoded plumbing.EncodedObject, content []byte) error {
	writer, err := encoded.Writer()
	if err != nil {
		return err
	}
	_, err = writer.Write(content)
	return errors.Join(err, writer.Close())
}

// storeObject adds an object to the repository and returns its hash. The function encode writes the object's content.
func storeObject(repository *git.Repository, kind plumbing.ObjectType, encode func(plumbing.EncodedObject) error) (plumbing.Hash, error) {
	encoded := repository.Storer.NewEncodedObject()
	encoded.SetType(kind)
	if err := encode(encoded); err != nil {
		return plumbing.ZeroHash, err
	}
	return repository.Storer.SetEncodedObject(encoded)
}
