#include "model/host_list.h"

#include <stdlib.h>

void host_list_free(struct host_list *l)
{
	if (!l)
		return;
	free(l->hosts);
	free(l);
}
