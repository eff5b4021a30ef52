#include "path_setup.h"

#include <stdio.h>
#include <string.h>

void path_cmd_contract(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct path_ctx *c = ctx;
	const char *name = script_arg(argc, argv, "customer", "c");
	struct contract *contract = NULL;
	uint32_t i;

	for (i = 0; i < c->next->contract_count; i++) {
		if (strcmp(c->next->contracts[i].customer, name) == 0)
			contract = &c->next->contracts[i];
	}
	if (!contract) {
		c->next->contracts = util_grow(c->next->contracts,
					       c->next->contract_count + 1,
					       sizeof(*contract));
		contract = &c->next->contracts[c->next->contract_count++];
	}
	memset(contract, 0, sizeof(*contract));
	util_copy_str(contract->customer, NAME_BYTES, name);
	contract->index_count = 1;
	util_copy_str(contract->indexes[0], NAME_BYTES,
		      script_arg(argc, argv, "index", "i"));
	contract->answer_ms = script_u32(argc, argv, "answer_ms", 100);
	contract->min_coverage_permille =
		script_u32(argc, argv, "coverage", 1000);
	contract->rate_per_s = script_u32(argc, argv, "rate", 1000);
	contract->target_share_permille = script_u32(argc, argv, "share", 1000);
	contract->extra_load_permille = script_u32(argc, argv, "extra", 50);
}

/*
 * The target's ID is the shard's position and a letter for the replica, such as
 * "s0b"; the letter is its data centre too.
 */
static void set_target(struct target *t, uint32_t shard, uint32_t replica,
		       uint32_t port, uint32_t argc, char **argv)
{
	g_auto(GStrv) versions =
		g_strsplit(script_arg(argc, argv, "versions", ""), ",", -1);
	char letter = (char)('a' + replica);

	snprintf(t->id, sizeof(t->id), "s%u%c", shard, letter);
	snprintf(t->data_centre, sizeof(t->data_centre), "%c", letter);
	util_copy_str(t->address, sizeof(t->address), "127.0.0.1");
	util_copy_str(t->version, sizeof(t->version),
		      replica < g_strv_length(versions) ? versions[replica]
							: "v1");
	t->port = (uint16_t)port;
	t->slots = script_u32(argc, argv, "slots", 2);
	t->connections = script_u32(argc, argv, "connections", 40);
	t->cold_slots = script_u32(argc, argv, "cold_slots", 1);
}

void path_cmd_layout(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct path_ctx *c = ctx;
	uint32_t shards = script_u32(argc, argv, "shards", 1);
	uint32_t replicas = script_u32(argc, argv, "replicas", 3);
	struct layout *l = layout_new(shards, shards * replicas);
	uint32_t i;

	util_copy_str(l->index, NAME_BYTES,
		      script_arg(argc, argv, "index", "i"));
	util_copy_str(l->snapshot, NAME_BYTES,
		      script_arg(argc, argv, "snapshot", "n1"));
	util_copy_str(l->service, NAME_BYTES, "svc");
	for (i = 0; i < shards * replicas; i++) {
		struct shard *s = &l->shards[i / replicas];

		snprintf(s->name, sizeof(s->name), "s%u", i / replicas);
		s->replicas[s->replica_count++] = i;
		set_target(&l->targets[i], i / replicas, i % replicas,
			   TARGET_PORT + i, argc, argv);
	}
	if (c->next->layout_count)
		layout_free(c->next->layouts[0]);
	c->next->layouts = util_grow(c->next->layouts, 1, sizeof(l));
	c->next->layouts[0] = l;
	c->next->layout_count = 1;
}

void path_cmd_dc(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct view *v = ((struct path_ctx *)ctx)->next;

	v->dcs = util_grow(v->dcs, v->dc_count + 1, sizeof(*v->dcs));
	util_copy_str(v->dcs[v->dc_count].data_centre, NAME_BYTES,
		      script_arg(argc, argv, "name", "a"));
	v->dcs[v->dc_count++].share_permille =
		script_u32(argc, argv, "share", 1000);
}

void path_cmd_version(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct view *v = ((struct path_ctx *)ctx)->next;
	struct version_share *share;

	v->versions =
		util_grow(v->versions, v->version_count + 1, sizeof(*share));
	share = &v->versions[v->version_count++];
	util_copy_str(share->service, NAME_BYTES, "svc");
	util_copy_str(share->version, NAME_BYTES,
		      script_arg(argc, argv, "name", "v1"));
	share->share_permille = script_u32(argc, argv, "share", 1000);
}

void path_cmd_block(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct view *v = ((struct path_ctx *)ctx)->next;

	v->blocked_targets = util_grow(v->blocked_targets,
				       v->blocked_target_count + 1,
				       sizeof(*v->blocked_targets));
	util_copy_str(v->blocked_targets[v->blocked_target_count++].id,
		      NAME_BYTES, script_arg(argc, argv, "target", ""));
}

void path_cmd_hosts(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct view *v = ((struct path_ctx *)ctx)->next;
	uint32_t i;

	v->hosts = util_grow(v->hosts, argc, NAME_BYTES);
	v->host_count = argc;
	for (i = 0; i < argc; i++)
		util_copy_str(v->hosts[i], NAME_BYTES, argv[i]);
}

static void *copy_of(const void *data, uint32_t count, size_t size_bytes)
{
	void *copy = util_alloc(count, size_bytes);

	if (count)
		memcpy(copy, data, count * size_bytes);
	return copy;
}

static struct layout *copy_layout(const struct layout *l)
{
	struct layout *copy = layout_new(l->shard_count, l->target_count);

	util_copy_str(copy->index, NAME_BYTES, l->index);
	util_copy_str(copy->snapshot, NAME_BYTES, l->snapshot);
	util_copy_str(copy->service, NAME_BYTES, l->service);
	memcpy(copy->shards, l->shards, l->shard_count * sizeof(*l->shards));
	memcpy(copy->targets, l->targets,
	       l->target_count * sizeof(*l->targets));
	return copy;
}

void path_cmd_view(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct path_ctx *c = ctx;
	const struct view *next = c->next;
	struct view *v = view_new();
	uint32_t i;

	v->host_count = next->host_count;
	v->hosts = copy_of(next->hosts, next->host_count, NAME_BYTES);
	v->contract_count = next->contract_count;
	v->contracts = copy_of(next->contracts, next->contract_count,
			       sizeof(*v->contracts));
	v->dc_count = next->dc_count;
	v->dcs = copy_of(next->dcs, next->dc_count, sizeof(*v->dcs));
	v->version_count = next->version_count;
	v->versions = copy_of(next->versions, next->version_count,
			      sizeof(*v->versions));
	v->blocked_target_count = next->blocked_target_count;
	v->blocked_targets = copy_of(next->blocked_targets,
				     next->blocked_target_count,
				     sizeof(*v->blocked_targets));
	v->layout_count = next->layout_count;
	v->layouts = util_alloc(next->layout_count, sizeof(*v->layouts));
	for (i = 0; i < next->layout_count; i++)
		v->layouts[i] = copy_layout(next->layouts[i]);
	c->out = out;
	pipeline_set_view(c->path, v, c->now_us);
}
