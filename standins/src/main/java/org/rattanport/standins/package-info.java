/** Small stand-ins of the platform's services and of plain services. */
@NullMarked
package org.rattanport.standins;

import org.jspecify.annotations.NullMarked;
