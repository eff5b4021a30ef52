/* "standin merge": prints the merged hits of some shards, from the corpus. */
#include <stdio.h>
#include <string.h>

#include "corpus.h"
#include "mains.h"
#include "opts.h"

#define SHARDS_MAX 1024

struct settings {
	char index[NAME_BYTES];
	char snapshot[SNAPSHOT_BYTES];
	char query[QUERY_BYTES_MAX];
	/* Names of the shards, separated by commas. */
	char shards[8192];
	uint32_t limit;
};

static const struct opt options[] = {
	{ "index", OPT_TEXT, offsetof(struct settings, index), 0, NAME_BYTES },
	{ "snapshot", OPT_TEXT, offsetof(struct settings, snapshot), 0,
	  SNAPSHOT_BYTES },
	{ "query", OPT_TEXT, offsetof(struct settings, query), 0,
	  QUERY_BYTES_MAX },
	{ "shards", OPT_TEXT, offsetof(struct settings, shards), 0, 8192 },
	{ "limit", OPT_NUMBER, offsetof(struct settings, limit), 1, HITS_MAX },
};

static void print_hits(const struct hits *hits)
{
	uint32_t i;

	for (i = 0; i < hits->count; i++)
		printf("%s %.2f %s\n", hits->items[i].id, hits->items[i].score,
		       hits->items[i].doc);
}

enum err_code main_merge(int argc, char **argv, struct err *err)
{
	struct settings set = { .index = "concept",
				.snapshot = "s7",
				.query = "heron",
				.shards = "s0",
				.limit = 10 };
	const char *shards[SHARDS_MAX];
	struct hits hits CLEANUP(hits_free) = { 0 };
	char *save = NULL;
	char *name;
	uint32_t count = 0;

	if (opts_args(options, countof(options), &set, argc, argv, err) !=
	    ERR_OK)
		return err->code;
	for (name = strtok_r(set.shards, ",", &save); name;
	     name = strtok_r(NULL, ",", &save)) {
		if (count == SHARDS_MAX)
			return err_set(err, ERR_SETTING, "above %d shards",
				       SHARDS_MAX);
		shards[count++] = name;
	}
	corpus_merge(set.index, shards, count, set.snapshot, set.query,
		     set.limit, &hits);
	print_hits(&hits);
	return ERR_OK;
}
