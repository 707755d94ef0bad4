/** Detection of what crashes upstreams: prompt parts and repeated requests. */
@NullMarked
package org.limpetring.entry.poison;

import org.jspecify.annotations.NullMarked;
