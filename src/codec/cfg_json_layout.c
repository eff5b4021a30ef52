#include <string.h>

#include "codec/cfg_json.h"

/* All replicas of all shards may be different targets. */
#define TARGETS_MAX (LAYOUT_SHARDS_MAX * SHARD_REPLICAS_MAX)

/* Element of the array in which the target IDs of shards are looked up. */
struct target_ref {
	const char *id;
	/* Index in layout.targets. */
	uint32_t position;
};

static enum err_code read_target(const json_t *obj, struct target *t,
				 struct err *err)
{
	uint32_t port = 0;
	enum err_code code =
		cfg_json_get_text(obj, "id", t->id, sizeof(t->id), err);

	if (code == ERR_OK)
		code = cfg_json_get_text(obj, "address", t->address,
					 sizeof(t->address), err);
	if (code == ERR_OK)
		code = cfg_json_get_u32(obj, "port", 1, UINT16_MAX, -1, &port,
					err);
	if (code == ERR_OK)
		code = cfg_json_get_text(obj, "data_centre", t->data_centre,
					 sizeof(t->data_centre), err);
	if (code == ERR_OK)
		code = cfg_json_get_text(obj, "version", t->version,
					 sizeof(t->version), err);
	if (code == ERR_OK)
		code = cfg_json_get_u32(obj, "slots", 1, TARGET_SLOTS_MAX, -1,
					&t->slots, err);
	if (code == ERR_OK)
		code = cfg_json_get_u32(obj, "connections", 1,
					TARGET_CONNECTIONS_MAX, -1,
					&t->connections, err);
	if (code == ERR_OK)
		code = cfg_json_get_u32(obj, "cold_slots", 1, TARGET_SLOTS_MAX,
					1, &t->cold_slots, err);
	if (code == ERR_OK)
		code = cfg_json_get_u32(obj, "connect_us", 0,
					TARGET_CONNECT_US_MAX, 0,
					&t->connect_us, err);
	t->port = (uint16_t)port;
	if (code == ERR_OK && !util_name_ok(t->version, NAME_BYTES - 1))
		code = err_set(err, ERR_CFG_FIELD,
			       "version is not valid, accepted a name of 1 to "
			       "64 bytes");
	return code;
}

static enum err_code read_target_at(const json_t *list, uint32_t index,
				    struct target *t, struct err *err)
{
	struct err field_err = { 0 };
	enum err_code code =
		read_target(json_array_get(list, index), t, &field_err);

	if (code == ERR_OK)
		return ERR_OK;
	return err_set(err, code, "targets[%u]: %s", index, field_err.detail);
}

static int compare_refs(const void *a, const void *b)
{
	const struct target_ref *x = a;
	const struct target_ref *y = b;

	return strcmp(x->id, y->id);
}

/*
 * Fills @refs with the targets of @l, sorted by ID. ERR_CFG_FIELD if two
 * targets have the same ID.
 */
static enum err_code index_targets(const struct layout *l,
				   struct target_ref *refs, struct err *err)
{
	uint32_t i;

	for (i = 0; i < l->target_count; i++)
		refs[i] = (struct target_ref){ l->targets[i].id, i };
	qsort(refs, l->target_count, sizeof(*refs), compare_refs);
	for (i = 1; i < l->target_count; i++) {
		if (strcmp(refs[i - 1].id, refs[i].id) == 0)
			return err_set(err, ERR_CFG_FIELD,
				       "targets: id %s is given twice, "
				       "accepted once",
				       refs[i].id);
	}
	return ERR_OK;
}

static enum err_code read_shard(const json_t *obj, const struct layout *l,
				const struct target_ref *refs, struct shard *s,
				struct err *err)
{
	const json_t *list = json_object_get(obj, "targets");
	size_t n = json_array_size(list);
	enum err_code code =
		cfg_json_get_text(obj, "name", s->name, sizeof(s->name), err);
	size_t i;

	if (code != ERR_OK)
		return code;
	if (n < 1 || n > SHARD_REPLICAS_MAX)
		return err_set(err, ERR_CFG_FIELD,
			       "shard %s: targets has %zu entries, accepted 1 "
			       "to %u",
			       s->name, n, SHARD_REPLICAS_MAX);
	for (i = 0; i < n; i++) {
		const char *id = json_string_value(json_array_get(list, i));
		struct target_ref key = { id ? id : "", 0 };
		const struct target_ref *found =
			bsearch(&key, refs, l->target_count, sizeof(*refs),
				compare_refs);

		if (!found)
			return err_set(err, ERR_CFG_FIELD,
				       "shard %s: targets[%zu] is %s, accepted "
				       "an id of the layout's targets",
				       s->name, i, id ? id : "no text");
		s->replicas[i] = found->position;
	}
	s->replica_count = (uint32_t)n;
	return ERR_OK;
}

static int compare_names(const void *a, const void *b)
{
	return strcmp(*(const char *const *)a, *(const char *const *)b);
}

static enum err_code check_shard_names(const struct layout *l, struct err *err)
{
	const char **names CLEANUP_FREE =
		util_alloc(l->shard_count, sizeof(*names));
	uint32_t i;

	for (i = 0; i < l->shard_count; i++)
		names[i] = l->shards[i].name;
	qsort(names, l->shard_count, sizeof(*names), compare_names);
	for (i = 1; i < l->shard_count; i++) {
		if (strcmp(names[i - 1], names[i]) == 0)
			return err_set(err, ERR_CFG_FIELD,
				       "shards: name %s is given twice, "
				       "accepted once",
				       names[i]);
	}
	return ERR_OK;
}

static enum err_code read_layout(const json_t *obj, struct layout *l,
				 struct err *err)
{
	const json_t *targets = json_object_get(obj, "targets");
	const json_t *shards = json_object_get(obj, "shards");
	struct target_ref *refs CLEANUP_FREE =
		util_alloc(l->target_count, sizeof(*refs));
	enum err_code code = cfg_json_get_text(obj, "index", l->index,
					       sizeof(l->index), err);
	uint32_t i;

	if (code == ERR_OK)
		code = cfg_json_get_text(obj, "snapshot", l->snapshot,
					 sizeof(l->snapshot), err);
	if (code == ERR_OK)
		code = cfg_json_get_text(obj, "service", l->service,
					 sizeof(l->service), err);
	for (i = 0; i < l->target_count && code == ERR_OK; i++)
		code = read_target_at(targets, i, &l->targets[i], err);
	if (code == ERR_OK)
		code = index_targets(l, refs, err);
	for (i = 0; i < l->shard_count && code == ERR_OK; i++)
		code = read_shard(json_array_get(shards, i), l, refs,
				  &l->shards[i], err);
	if (code == ERR_OK)
		code = check_shard_names(l, err);
	return code == ERR_OK ? layout_check(l, err) : code;
}

static enum err_code check_sizes(size_t shards, size_t targets, struct err *err)
{
	if (shards < 1 || shards > LAYOUT_SHARDS_MAX)
		return err_set(err, ERR_CFG_FIELD,
			       "shards has %zu entries, accepted 1 to %u",
			       shards, LAYOUT_SHARDS_MAX);
	if (targets < 1 || targets > TARGETS_MAX)
		return err_set(err, ERR_CFG_FIELD,
			       "targets has %zu entries, accepted 1 to %u",
			       targets, TARGETS_MAX);
	return ERR_OK;
}

struct layout *cfg_json_decode_layout(const char *text, struct err *err)
{
	json_t *obj = cfg_json_load(text, err);
	size_t shards = json_array_size(json_object_get(obj, "shards"));
	size_t targets = json_array_size(json_object_get(obj, "targets"));
	struct layout *l = NULL;

	if (!obj)
		return NULL;
	if (check_sizes(shards, targets, err) == ERR_OK) {
		l = layout_new((uint32_t)shards, (uint32_t)targets);
		if (read_layout(obj, l, err) != ERR_OK) {
			layout_free(l);
			l = NULL;
		}
	}
	json_decref(obj);
	return l;
}

static json_t *target_json(const struct target *t)
{
	return json_pack("{s:s,s:s,s:i,s:s,s:s,s:I,s:I,s:I,s:I}", "id", t->id,
			 "address", t->address, "port", (int)t->port,
			 "data_centre", t->data_centre, "version", t->version,
			 "slots", (json_int_t)t->slots, "connections",
			 (json_int_t)t->connections, "cold_slots",
			 (json_int_t)t->cold_slots, "connect_us",
			 (json_int_t)t->connect_us);
}

static json_t *shard_json(const struct layout *l, const struct shard *s)
{
	json_t *ids = json_array();
	uint32_t i;

	for (i = 0; i < s->replica_count; i++)
		json_array_append_new(
			ids, json_string(l->targets[s->replicas[i]].id));
	return json_pack("{s:s,s:o}", "name", s->name, "targets", ids);
}

char *cfg_json_encode_layout(const struct layout *l)
{
	json_t *targets = json_array();
	json_t *shards = json_array();
	uint32_t i;

	for (i = 0; i < l->target_count; i++)
		json_array_append_new(targets, target_json(&l->targets[i]));
	for (i = 0; i < l->shard_count; i++)
		json_array_append_new(shards, shard_json(l, &l->shards[i]));
	return cfg_json_dump(json_pack("{s:s,s:s,s:s,s:o,s:o}", "index",
				       l->index, "snapshot", l->snapshot,
				       "service", l->service, "targets",
				       targets, "shards", shards));
}
