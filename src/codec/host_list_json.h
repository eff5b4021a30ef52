/* JSON of the platform's host list (docs/INTERFACES.md, section 4). */
#ifndef HOST_LIST_JSON_H
#define HOST_LIST_JSON_H

#include "base/err.h"
#include "model/host_list.h"

/*
 * NULL with ERR_BAD_JSON or ERR_CFG_FIELD in @err when @text is not a host
 * list. Entries with a missing or bad field are left out and counted in
 * @refused (may be NULL), so that one bad entry does not hide the others.
 */
struct host_list *host_list_json_decode(const char *text, uint32_t *refused,
					struct err *err);

#endif
