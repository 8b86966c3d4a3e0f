//! Kept documents of a decoder.

use std::{fs, path::Path, sync::Arc};

use anyhow::{Context, ensure};
use bytes::Bytes;
use proptest::{collection::vec, prelude::*, sample::Index};

use crate::Mutation;

/// The prefix of the files that a decoder has to refuse.
const REFUSED_PREFIX: &str = "bad-";

/// The largest number of mutations of one document.
const MAX_MUTATIONS: usize = 6;

/// The kept documents of a decoder, one file each.
#[derive(Debug, Clone)]
pub struct Corpus {
    documents: Arc<[CorpusDocument]>,
}

/// A kept document.
#[derive(Debug, Clone)]
pub struct CorpusDocument {
    /// The name of its file.
    pub name: String,
    /// Its content.
    pub bytes: Vec<u8>,
}

impl Corpus {
    /// Loads all files of a folder, in the order of their names.
    pub fn load(folder: impl AsRef<Path>) -> anyhow::Result<Self> {
        let folder = folder.as_ref();
        let mut documents = Vec::new();
        let files = fs::read_dir(folder)
            .with_context(|| format!("{} cannot be read; check the path", folder.display()))?;
        for file in files {
            let path = file?.path();
            let name = path.file_name().unwrap_or_default().to_string_lossy().into_owned();
            documents.push(CorpusDocument { name, bytes: fs::read(&path)? });
        }
        ensure!(!documents.is_empty(), "{} is empty; add a document", folder.display());
        documents.sort_by(|a, b| a.name.cmp(&b.name));
        Ok(Self { documents: documents.into() })
    }

    /// Returns the documents in the order of their names.
    pub fn documents(&self) -> &[CorpusDocument] {
        &self.documents
    }

    /// Documents with a few mutations. Some have none.
    pub fn mutated(&self) -> impl Strategy<Value = Bytes> + use<> {
        let corpus = self.clone();
        (any::<Index>(), vec(Mutation::any(), 0..=MAX_MUTATIONS)).prop_map(
            move |(index, mutations)| {
                let mut bytes = index.get(&corpus.documents).bytes.clone();
                for mutation in &mutations {
                    mutation.apply(&mut bytes, &corpus);
                }
                Bytes::from(bytes)
            },
        )
    }
}

impl CorpusDocument {
    /// Whether the decoder has to refuse the document: its name begins with `bad-`.
    pub fn is_refused(&self) -> bool {
        self.name.starts_with(REFUSED_PREFIX)
    }
}
