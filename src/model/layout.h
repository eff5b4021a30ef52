/* Layout of one index: its snapshot, its shards and their targets. */
#ifndef LAYOUT_H
#define LAYOUT_H

#include <stdint.h>

#include "base/err.h"
#include "model/name.h"

#define LAYOUT_SHARDS_MAX 4096
#define SHARD_REPLICAS_MAX 16
#define TARGET_SLOTS_MAX 1024
#define TARGET_CONNECTIONS_MAX 65536
#define TARGET_CONNECT_US_MAX (10 * US_PER_S)
/*
 * Hosts that may have connections to one target at the same time: eight, and
 * two more while hosts are replaced.
 */
#define HOSTS_PER_TARGET_MAX 10

struct target {
	char id[NAME_BYTES];
	char address[ADDRESS_BYTES];
	uint16_t port;
	char data_centre[NAME_BYTES];
	char version[NAME_BYTES];
	/* Requests from all hosts that the target serves at once when warm. */
	uint32_t slots;
	/* Connections the target accepts from all hosts together. */
	uint32_t connections;
	/* Requests from all hosts that the target serves at once when cold. */
	uint32_t cold_slots;
	/*
	 * Time that opening a connection to the target takes; checked, but no
	 * decision uses it.
	 */
	uint32_t connect_us;
};

struct shard {
	char name[NAME_BYTES];
	uint32_t replica_count;
	/* Targets that hold the shard, as positions in layout.targets. */
	uint32_t replicas[SHARD_REPLICAS_MAX];
};

struct layout {
	char index[NAME_BYTES];
	char snapshot[SNAPSHOT_BYTES];
	char service[NAME_BYTES];
	uint32_t target_count;
	struct target *targets;
	uint32_t shard_count;
	struct shard *shards;
};

struct layout *layout_new(uint32_t shard_count, uint32_t target_count);
void layout_free(struct layout *l);
/* ERR_OK or ERR_CFG_FIELD with the field and its accepted range in @err. */
enum err_code layout_check(const struct layout *l, struct err *err);
/* Position of the shard that holds record @id, by hash of the ID. */
uint32_t layout_shard_of(const struct layout *l, const char *id);
/*
 * Connections that each host may have open to target @t: t->connections divided
 * by HOSTS_PER_TARGET_MAX, at least 1.
 */
uint32_t target_connections_per_host(const struct target *t);

#endif
