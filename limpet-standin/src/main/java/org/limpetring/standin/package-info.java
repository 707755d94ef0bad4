/** Stand-ins for the platform, engines and plain services, with fault injection. */
@NullMarked
package org.limpetring.standin;

import org.jspecify.annotations.NullMarked;
