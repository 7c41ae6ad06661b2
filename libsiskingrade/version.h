#ifndef SGR_VERSION_H
#define SGR_VERSION_H

#define SGR_VERSION "0.1.0"

#endif
