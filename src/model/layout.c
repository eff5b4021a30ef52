#include "model/layout.h"

#include <arpa/inet.h>
#include <string.h>
#include <xxhash.h>

#define NAME_ACCEPTED "accepted 1 to 64 of a-z A-Z 0-9 . _ : -"

struct layout *layout_new(uint32_t shard_count, uint32_t target_count)
{
	struct layout *l = util_alloc(1, sizeof(*l));

	l->shard_count = shard_count;
	l->target_count = target_count;
	l->shards = util_alloc(shard_count, sizeof(*l->shards));
	l->targets = util_alloc(target_count, sizeof(*l->targets));
	return l;
}

void layout_free(struct layout *l)
{
	if (!l)
		return;
	free(l->shards);
	free(l->targets);
	free(l);
}

static enum err_code check_number(const char *id, const char *field,
				  uint32_t value, uint32_t lowest,
				  uint32_t highest, struct err *err)
{
	if (value >= lowest && value <= highest)
		return ERR_OK;
	return err_set(err, ERR_CFG_FIELD,
		       "target %s: %s is %u, accepted %u to %u", id, field,
		       value, lowest, highest);
}

static int is_ip_address(const char *address)
{
	unsigned char raw[sizeof(struct in6_addr)];

	return inet_pton(AF_INET, address, raw) == 1 ||
	       inet_pton(AF_INET6, address, raw) == 1;
}

static enum err_code check_target(const struct target *t, struct err *err)
{
	enum err_code code;

	if (!util_name_ok(t->id, NAME_BYTES - 1))
		return err_set(err, ERR_CFG_FIELD,
			       "target id is not valid, " NAME_ACCEPTED);
	if (!is_ip_address(t->address))
		return err_set(err, ERR_CFG_FIELD,
			       "target %s: address is not an IP number", t->id);
	if (!util_name_ok(t->data_centre, NAME_BYTES - 1))
		return err_set(err, ERR_CFG_FIELD,
			       "target %s: data_centre is not "
			       "valid, " NAME_ACCEPTED,
			       t->id);
	code = check_number(t->id, "port", t->port, 1, UINT16_MAX, err);
	if (code == ERR_OK)
		code = check_number(t->id, "slots", t->slots, 1,
				    TARGET_SLOTS_MAX, err);
	if (code == ERR_OK)
		code = check_number(t->id, "connections", t->connections, 1,
				    TARGET_CONNECTIONS_MAX, err);
	if (code == ERR_OK)
		code = check_number(t->id, "cold_slots", t->cold_slots, 1,
				    TARGET_SLOTS_MAX, err);
	if (code == ERR_OK)
		code = check_number(t->id, "connect_us", t->connect_us, 0,
				    TARGET_CONNECT_US_MAX, err);
	return code;
}

static enum err_code check_shard(const struct layout *l, const struct shard *s,
				 struct err *err)
{
	uint32_t i;

	if (!util_name_ok(s->name, NAME_BYTES - 1))
		return err_set(err, ERR_CFG_FIELD,
			       "shard name is not valid, " NAME_ACCEPTED);
	if (s->replica_count < 1 || s->replica_count > SHARD_REPLICAS_MAX)
		return err_set(err, ERR_CFG_FIELD,
			       "shard %s: %u targets, accepted 1 to %u",
			       s->name, s->replica_count, SHARD_REPLICAS_MAX);
	for (i = 0; i < s->replica_count; i++) {
		if (s->replicas[i] >= l->target_count)
			return err_set(err, ERR_CFG_FIELD,
				       "shard %s: target position is %u, "
				       "accepted less than %u",
				       s->name, s->replicas[i],
				       l->target_count);
	}
	return ERR_OK;
}

enum err_code layout_check(const struct layout *l, struct err *err)
{
	enum err_code code = ERR_OK;
	uint32_t i;

	if (!util_name_ok(l->index, NAME_BYTES - 1))
		return err_set(err, ERR_CFG_FIELD,
			       "index is not valid, " NAME_ACCEPTED);
	if (!util_name_ok(l->snapshot, SNAPSHOT_BYTES - 1))
		return err_set(err, ERR_CFG_FIELD,
			       "snapshot is not valid, " NAME_ACCEPTED);
	if (!util_name_ok(l->service, NAME_BYTES - 1))
		return err_set(err, ERR_CFG_FIELD,
			       "service is not valid, " NAME_ACCEPTED);
	if (l->shard_count < 1 || l->shard_count > LAYOUT_SHARDS_MAX)
		return err_set(err, ERR_CFG_FIELD,
			       "shards has %u entries, accepted 1 to %u",
			       l->shard_count, LAYOUT_SHARDS_MAX);
	for (i = 0; i < l->target_count && code == ERR_OK; i++)
		code = check_target(&l->targets[i], err);
	for (i = 0; i < l->shard_count && code == ERR_OK; i++)
		code = check_shard(l, &l->shards[i], err);
	return code;
}

uint32_t layout_shard_of(const struct layout *l, const char *id)
{
	return (uint32_t)(XXH64(id, strlen(id), 0) % l->shard_count);
}

uint32_t target_connections_per_host(const struct target *t)
{
	return util_max_u32(1, t->connections / HOSTS_PER_TARGET_MAX);
}
