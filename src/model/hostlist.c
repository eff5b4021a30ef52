#include "model/hostlist.h"

#include <stdlib.h>

void host_list_free(struct host_list *l)
{
	if (!l)
		return;
	free(l->hosts);
	free(l);
}
