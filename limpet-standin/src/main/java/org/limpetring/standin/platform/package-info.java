/** HTTP API of the platform: objects, hosts and weights. */
@NullMarked
package org.limpetring.standin.platform;

import org.jspecify.annotations.NullMarked;
